"""Guards against decisions whose work grows with fleet or queue."""

import sys
import unittest

from bulrushrudder.benchmarks import decisions

EXCHANGES = 30
MAX_FACTOR = 2.0


def count_calls(count, queued):
    """Return the function calls of some decisions, also those in C."""
    saturated = decisions.SaturatedCoordinator(count, queued)
    calls = 0

    def profile(frame, event, argument):
        nonlocal calls
        calls += event in ('call', 'c_call')

    sys.setprofile(profile)
    try:
        for _ in range(EXCHANGES):
            saturated.release_and_request()
    finally:
        sys.setprofile(None)
    return calls


class DecisionWorkTests(unittest.TestCase):
    def test_calls_stay_bounded_with_ten_times_the_servers(self):
        base_calls = count_calls(40, 100)
        self.assertLessEqual(count_calls(400, 100), MAX_FACTOR * base_calls)

    def test_calls_stay_bounded_with_twenty_times_the_queue(self):
        base_calls = count_calls(10, 100)
        self.assertLessEqual(count_calls(10, 2000), MAX_FACTOR * base_calls)


if __name__ == '__main__':
    unittest.main()
