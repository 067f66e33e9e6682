"""The work of a decision does not grow with the fleet or the queue."""

import sys
import unittest

from bulrushrudder.benchmarks import decisions

EXCHANGES = 30
MOST_FACTOR = 2.0


def calls_of(count, queued):
    """Return the function calls of some decisions, also those in C."""
    found = decisions.Saturated(count, queued)
    calls = 0

    def profile(frame, event, argument):
        nonlocal calls
        calls += event in ('call', 'c_call')

    sys.setprofile(profile)
    try:
        for _ in range(EXCHANGES):
            found.exchange()
    finally:
        sys.setprofile(None)
    return calls


class DecisionWorkTests(unittest.TestCase):
    def test_with_ten_times_the_servers(self):
        few = calls_of(40, 100)
        self.assertLessEqual(calls_of(400, 100), MOST_FACTOR * few)

    def test_with_twenty_times_the_queue(self):
        short = calls_of(10, 100)
        self.assertLessEqual(calls_of(10, 2000), MOST_FACTOR * short)


if __name__ == '__main__':
    unittest.main()
