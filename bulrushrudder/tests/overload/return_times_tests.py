import unittest

from bulrushrudder.overload import return_times
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import overload_loads as loads
from bulrushrudder.tests.builders import places

SERVED_SHARE = 0.95


class ReturnTimesTests(unittest.TestCase):
    def test_callers_refused_together_return_one_after_the_other(self):
        times = return_times.ReturnTimes()
        for number in range(20):
            times.record_grant(number / 10)
        delays = [times.next_delay_s(0, 2.0) for _ in range(10)]
        self.assertEqual(delays, sorted(delays))
        self.assertAlmostEqual(delays[9] - delays[0], 1.8, places=1)

    def test_returns_begin_when_backlog_is_served(self):
        times = return_times.ReturnTimes()
        for number in range(20):
            times.record_grant(number / 10)
        self.assertAlmostEqual(times.next_delay_s(15, 2.0), 1.5, places=1)

    def test_delay_stays_within_time_that_callers_wait(self):
        times = return_times.ReturnTimes()
        for _ in range(100):
            delay_s = times.next_delay_s(1000, 1.0)
            self.assertLessEqual(delay_s, return_times.MAX_DELAY_S)


class BurstTests(unittest.TestCase):
    """Bursts of 1.9 for 4 s, as in scale-1 of tkal-fieldnotes."""

    def outcomes(self, delay_s=None):
        burst = loads.Burst(5.0, 4.0, 1.9)
        return [
            loads.replay(burst, seed=seed, delay_s=delay_s)
            for seed in range(10)
        ]

    def test_callers_that_return_when_told_are_served(self):
        found = self.outcomes()
        returned = sum(outcome.returned for outcome in found)
        served = sum(outcome.served_after_return for outcome in found)
        self.assertGreater(returned, 0)
        self.assertGreaterEqual(served, SERVED_SHARE * returned)

    def test_more_returning_callers_are_served_than_with_one_delay(self):
        told, constant = self.outcomes(), self.outcomes(delay_s=1.0)
        served, baseline = (
            sum(outcome.served_after_return for outcome in found)
            / sum(outcome.returned for outcome in found)
            for found in (told, constant)
        )
        self.assertGreater(served, baseline)
        peak, baseline_peak = (
            max(max(o.returns_by_second.values()) for o in found)
            for found in (told, constant)
        )
        self.assertLess(peak, baseline_peak)


class LateOrderTests(unittest.TestCase):
    """Late callers of one account, of which one had been refused before."""

    def test_caller_that_came_back_goes_before_newer_ones(self):
        granting = coordinator.Coordinator(max_booked_ahead=0)
        granting.handle(places.servers_changed(1, 1, places=1), 0.0)
        (held,) = places.grants(
            granting.handle(places.placement_request(1), 0.0)
        )
        late = {
            'interactive': False,
            'accepts_late_answer': True,
            'patience_s': 9.0,
        }
        for number, target_s in ((2, 0.2), (3, 0.3), (4, -3.0)):
            granting.handle(
                places.placement_request(
                    number, first_token_s=target_s, **late
                ),
                number / 10,
            )
        (granted,) = places.grants(
            granting.handle(events.PlaceReleased(held.hold), 2.0)
        )
        self.assertEqual(granted.call, 4)
