import unittest

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import arrivals
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import request
from bulrushrudder.lifecycle import retries
from bulrushrudder.tests.builders import jobs

SHARE = 0.2
EXTRA = 54.0
WINDOW_S = 10.0
PROCESSES = 12
REQUESTS_PER_S = 20
FULL = outcomes.Reason.BACKEND_FULL
PREFILL = ids.ServerId('prefill-1')
MODEL = ids.ModelId('drafting')
DECODE = ids.ServerId('decode-1')


class SheddingFleet:
    """Requests whose decode servers reject every order.

    :ivar repeats: orders to servers beyond the first of each kind.
    """

    def __init__(self):
        self.policies = [
            retries.policy_for_shared_budget(
                SHARE, EXTRA, WINDOW_S, lambda: PROCESSES, 0.0
            )
            for _ in range(PROCESSES)
        ]
        self.repeats = 0

    def run(self, number, now_s):
        """Run one request until it is given up."""
        policy = self.policies[number % PROCESSES]
        policy.record_admission(now_s, MODEL)
        job = jobs.job(
            account=None, prefill_counts_as_run=False, charge_is_final=True
        )
        running = request.Request(job, policy)
        pending = running.start(now_s)
        prefills = decodes = 0
        while not running.ended:
            (action,) = [a for a in pending if _is_step(a)]
            match action:
                case actions.RequestPlace(place=place):
                    event = events.PlaceGranted(place, PREFILL, DECODE)
                case actions.StartPrefill(attempt=attempt):
                    prefills += 1
                    event = events.PrefillDone(attempt, 'handle', 6)
                case actions.StartDecode(attempt=attempt):
                    decodes += 1
                    event = events.AttemptFailed(
                        attempt, DECODE, FULL, 'shed', False
                    )
                case actions.BackOff():
                    event = events.BackOffEnded()
            pending = running.handle(event, now_s)
        self.repeats += prefills - 1 + decodes - 1


def _is_step(action):
    return not isinstance(
        action, actions.ReleasePlace | actions.CancelAttempt | actions.Refuse
    )


class SharedBudgetTests(unittest.TestCase):
    def test_repeats_of_both_stages_stay_below_fleet_bound(self):
        fleet = SheddingFleet()
        for second in range(30):
            for number in range(REQUESTS_PER_S):
                if second < 20:
                    # Budgets fill up.
                    fleet.policies[number % PROCESSES].record_admission(
                        float(second), MODEL
                    )
                else:
                    fleet.run(number, float(second))
        self.assertGreater(fleet.repeats, EXTRA / 2)
        bound = SHARE * REQUESTS_PER_S * WINDOW_S + EXTRA
        self.assertLessEqual(fleet.repeats, bound)


class UnpaidRepeatsTests(unittest.TestCase):
    def setUp(self):
        self.arrivals = arrivals.Arrivals()

    def test_failed_first_prefill_costs_one_repeat(self):
        self.arrivals.record_prefill()
        self.assertEqual(self.arrivals.unpaid_repeats(False), 1)

    def test_failed_decode_costs_two_repeats_with_its_prefill(self):
        self.arrivals.record_prefill()
        self.arrivals.record_decode()
        self.assertEqual(self.arrivals.unpaid_repeats(False), 2)

    def test_failed_decode_costs_one_repeat_if_its_prefill_is_reused(self):
        self.arrivals.record_prefill()
        self.arrivals.record_decode()
        self.assertEqual(self.arrivals.unpaid_repeats(True), 1)

    def test_decode_that_was_paid_and_not_sent_is_not_paid_again(self):
        self.arrivals.record_prefill()
        self.arrivals.record_decode()
        self.arrivals.pay(2)
        self.arrivals.record_prefill()
        self.assertEqual(self.arrivals.unpaid_repeats(False), 1)

    def test_decode_that_was_never_sent_costs_one_repeat(self):
        self.arrivals.record_prefill()
        self.assertEqual(self.arrivals.unpaid_repeats(True), 1)
