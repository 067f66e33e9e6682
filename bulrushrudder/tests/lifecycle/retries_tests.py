import unittest

from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import retries

FAILED = outcomes.Reason.BACKEND_FAILED
SPENT = outcomes.Reason.RETRY_BUDGET_SPENT
REQUESTS_PER_S = 100
DURATION_S = 30


def load_in_brownout(ratio):
    """Return the orders to engines per admitted request.

    From second 5 to 25 a third of the orders fail and may be retried.
    """
    policy = retries.RetryPolicy(ratio)
    orders = 0
    for number in range(REQUESTS_PER_S * DURATION_S):
        now_s = number / REQUESTS_PER_S
        policy.record_admission()
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


class FleetTests(unittest.TestCase):
    def test_processes_together_stay_below_fleet_bound(self):
        share, extra, processes, window_s = 0.2, 58.0, 9, 10.0
        policies = [
            retries.policy_for_shared_budget(share, extra, lambda: processes)
            for _ in range(processes)
        ]
        retried_at_s = []
        admitted_at_s = []
        for step in range(4000):
            now_s = step * 0.01
            # Low load first, so that budgets fill up; then all calls fail.
            if now_s < 15.0 and step % 10:
                continue
            policy = policies[step % processes]
            policy.record_admission()
            admitted_at_s.append(now_s)
            while now_s >= 15.0 and policy.take_retry(now_s):
                retried_at_s.append(now_s)
        self.assertGreater(len(retried_at_s), extra / 2)
        for since_s in retried_at_s:
            until_s = since_s + window_s
            admitted_count = sum(
                since_s <= at_s <= until_s for at_s in admitted_at_s
            )
            retried_count = sum(
                since_s <= at_s <= until_s for at_s in retried_at_s
            )
            self.assertLessEqual(retried_count, share * admitted_count + extra)
