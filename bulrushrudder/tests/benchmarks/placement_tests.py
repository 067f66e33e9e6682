"""Targets of placement, checked on runs in virtual time."""

import functools
import unittest

from bulrushrudder.benchmarks.placement import policies
from bulrushrudder.benchmarks.placement import runs
from bulrushrudder.benchmarks.placement import workload

SECONDS = 150
LONG_SECONDS = 300
STEADY_SECONDS = 600
SEED = 1
FIVE_FOLD = (('account-1', 5.0),)
MAX_WASTED = 0.01
MIN_SHARE_OF_BOUND = 0.95
MAX_P99_FACTOR = 1.5


@functools.cache
def result(
    fleet, load, policy=policies.COORDINATED, factors=(), seconds=SECONDS
):
    mix = workload.Mix(load, seconds, SEED, factors)
    return runs.Run(fleet, mix, policy).run()


class PlacementBoundsTests(unittest.TestCase):
    def check_each(self, check, loads):
        for fleet in workload.FLEETS:
            for load in loads:
                with self.subTest(fleet=fleet.name, load=load):
                    check(fleet, load)

    def test_wastes_at_most_one_percent_of_prefill(self):
        def check(fleet, load):
            self.assertLessEqual(result(fleet, load).wasted, MAX_WASTED)

        self.check_each(check, (0.5, 0.8, 0.95, 1.1))

    def test_goodput_is_at_least_95_percent_of_bound(self):
        def check(fleet, load):
            steady = result(fleet, load, seconds=STEADY_SECONDS)
            self.assertGreaterEqual(
                steady.goodput, MIN_SHARE_OF_BOUND * steady.bound
            )

        self.check_each(check, (0.95,))

    def test_goodput_is_not_below_any_baseline(self):
        def check(fleet, load):
            best_baseline = max(
                result(fleet, load, policy).goodput
                for policy in policies.BASELINES
            )
            self.assertGreaterEqual(result(fleet, load).goodput, best_baseline)

        self.check_each(check, (0.95, 1.1))

    def test_refuses_nobody_inside_rate_up_to_80_percent(self):
        def check(fleet, load):
            self.assertEqual(result(fleet, load).refused_inside_rate, 0)

        self.check_each(check, (0.5, 0.8))

    def test_refuses_nobody_inside_rate_at_95_percent(self):
        def check(fleet, load):
            self.assertEqual(result(fleet, load).refused_inside_rate, 0)

        self.check_each(check, (0.95,))

    def p99_s_by_account(self, fleet, load, factors):
        measured = result(fleet, load, factors=factors, seconds=LONG_SECONDS)
        return dict(measured.p99_s_by_account)

    def test_one_account_at_five_times_its_rate(self):
        def check(fleet, load):
            alone = self.p99_s_by_account(fleet, load, ())
            crowded = self.p99_s_by_account(fleet, load, FIVE_FOLD)
            del crowded['account-1']
            worst_account = max(crowded, key=crowded.get)
            self.assertLessEqual(
                crowded[worst_account], MAX_P99_FACTOR * alone[worst_account]
            )

        self.check_each(check, (0.5, 0.8))


if __name__ == '__main__':
    unittest.main()
