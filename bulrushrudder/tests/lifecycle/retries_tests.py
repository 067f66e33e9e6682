import unittest

from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import retries

FAILED = outcomes.Reason.BACKEND_FAILED
SPENT = outcomes.Reason.RETRY_BUDGET_SPENT
# The bound of a fleet, and the service that fails.
SHARE = 0.2
EXTRA = 58.0
WINDOW_S = 10.0
SERVICE = 'portal'
REQUESTS_PER_S = 100
DURATION_S = 30


def load_in_brownout(ratio):
    """Return the orders to engines per admitted request.

    From second 5 to 25 a third of the orders fail and may be retried.
    """
    policy = retries.RetryPolicy(terms=retries.Terms(ratio))
    orders = 0
    for number in range(REQUESTS_PER_S * DURATION_S):
        now_s = number / REQUESTS_PER_S
        policy.record_admission(now_s)
        failures = []
        while True:
            orders += 1
            broken = 5 <= now_s < 25 and (number * 7 + orders) % 3 == 0
            if not broken:
                break
            failures.append(FAILED)
            decision = policy.decide(failures, now_s, 1000.0, 0.5)
            if isinstance(decision, retries.GiveUp):
                break
    return orders / (REQUESTS_PER_S * DURATION_S)


class RetryPolicyTests(unittest.TestCase):
    def test_budget_limits_load_in_brownout(self):
        saved_share = retries.BUDGET_MAX / (REQUESTS_PER_S * DURATION_S)
        max_load = 1 + retries.BUDGET_RATIO + saved_share
        self.assertLessEqual(load_in_brownout(retries.BUDGET_RATIO), max_load)
        self.assertGreater(load_in_brownout(10.0), max_load)

    def test_spent_budget_refills_slowly_without_requests(self):
        policy = retries.RetryPolicy()
        for _ in range(int(retries.BUDGET_FLOOR)):
            decision = policy.decide([FAILED], 0.0, 10.0, 0.5)
            self.assertIsInstance(decision, retries.Retry)
        spent = policy.decide([FAILED], 0.0, 10.0, 0.5)
        self.assertEqual(spent, retries.GiveUp(SPENT))
        later = policy.decide([FAILED], 11.0, 20.0, 0.5)
        self.assertIsInstance(later, retries.Retry)

    def test_gives_up_on_reason_without_retries(self):
        policy = retries.RetryPolicy()
        reason = outcomes.Reason.QUEUE_FULL
        decision = policy.decide([reason], 0.0, 10.0, 0.5)
        self.assertEqual(decision, retries.GiveUp(reason))

    def test_gives_up_when_delay_exceeds_deadline(self):
        policy = retries.RetryPolicy()
        decision = policy.decide([FAILED], 5.0, 5.01, 0.5)
        self.assertEqual(decision, retries.GiveUp(FAILED))

    def test_jitter_spreads_equal_failures(self):
        delays = {retries.back_off_s(2, n / 10) for n in range(10)}
        self.assertEqual(len(delays), 10)
        self.assertLess(max(delays), 2 * min(delays) + 0.01)


class SharedFleet:
    """Processes that share a bound, and what they sent.

    :param processes: their number.
    """

    def __init__(self, processes):
        self._processes = processes
        self._policies = [self._start() for _ in range(processes)]
        self.retried_at_s = []
        self.admitted_at_s = []

    def _start(self, now_s=0.0):
        return retries.policy_for_shared_budget(
            SHARE, EXTRA, WINDOW_S, lambda: self._processes, now_s
        )

    def restart(self, number, now_s):
        """Start a process anew."""
        self._policies[number] = self._start(now_s)

    def admit(self, number, now_s, service=SERVICE):
        """Admit a request; only those to SERVICE are counted."""
        policy = self._policies[number % self._processes]
        policy.record_admission(now_s, service)
        if service == SERVICE:
            self.admitted_at_s.append(now_s)

    def retry(self, now_s, repeats=1):
        """Let all processes retry calls to SERVICE while they may."""
        for policy in self._policies:
            while policy.take_retry(now_s, repeats, SERVICE):
                self.retried_at_s += repeats * [now_s]

    def excess(self):
        """Return the most retries in a window beyond what is allowed."""
        return max(
            _count(self.retried_at_s, since_s)
            - SHARE * _count(self.admitted_at_s, since_s)
            - EXTRA
            for since_s in self.retried_at_s
        )


def _count(times_s, since_s):
    return sum(since_s <= at_s <= since_s + WINDOW_S for at_s in times_s)


class FleetTests(unittest.TestCase):
    def check(self, fleet):
        self.assertGreater(len(fleet.retried_at_s), EXTRA / 2)
        self.assertLessEqual(fleet.excess(), 0.0)

    def test_processes_together_stay_below_fleet_bound(self):
        fleet = SharedFleet(9)
        for step in range(4000):
            now_s = step * 0.01
            # Low load first, so that budgets fill up; then all calls fail.
            if now_s < 15.0 and step % 10:
                continue
            fleet.admit(step, now_s)
            if now_s >= 15.0:
                fleet.retry(now_s)
        self.check(fleet)

    def test_retries_of_one_service_are_not_paid_by_requests_to_others(self):
        fleet = SharedFleet(9)
        for step in range(4000):
            now_s = step * 0.01
            fleet.admit(step, now_s, 'other')
            if step % 100 == 0:
                fleet.admit(step, now_s)
            if now_s >= 15.0:
                fleet.retry(now_s)
        self.check(fleet)

    def test_processes_that_restart_stay_below_fleet_bound(self):
        fleet = SharedFleet(9)
        for step in range(2500):
            now_s = step * 0.01
            if now_s < 15.0:
                fleet.admit(step, now_s)
                continue
            fleet.retry(now_s)
            if step % 50 == 0 and step < 1500 + 9 * 50:
                fleet.restart((step - 1500) // 50, now_s)
        self.check(fleet)

    def test_slow_refill_of_many_processes_stays_below_fleet_bound(self):
        fleet = SharedFleet(30)
        for step in range(3000):
            now_s = step * 0.01
            if now_s < 15.0:
                fleet.admit(step, now_s)
            else:
                fleet.retry(now_s)
        self.check(fleet)

    def test_full_budgets_of_a_larger_fleet_pay_for_prefill_and_decode(self):
        fleet = SharedFleet(20)
        for step in range(3000):
            now_s = step * 0.01
            if now_s < 15.0:
                fleet.admit(step, now_s)
            else:
                fleet.retry(now_s, repeats=2)
        self.check(fleet)
