import unittest

from bulrushrudder.entry import waits


class WaitEstimatorTests(unittest.TestCase):
    def setUp(self):
        self.waits = waits.WaitEstimator()

    def test_shorter_stated_wait_counts_as_earlier_attempts(self):
        self.assertEqual(self.waits.earlier_wait_s('r1', 14.0, 0.0), 0.0)
        self.assertAlmostEqual(self.waits.earlier_wait_s('r1', 10.5, 1.0), 3.5)
        self.assertEqual(self.waits.earlier_wait_s('r1', 14.0, 2.0), 0.0)

    def test_wait_within_tolerance_counts_as_first_attempt(self):
        self.waits.earlier_wait_s('r1', 14.0, 0.0)
        self.assertEqual(self.waits.earlier_wait_s('r1', 12.0, 1.0), 0.0)

    def test_tracks_each_route_separately(self):
        self.waits.earlier_wait_s('r1', 14.0, 0.0)
        self.assertEqual(self.waits.earlier_wait_s('r2', 2.0, 1.0), 0.0)

    def test_longer_wait_replaces_longest(self):
        self.waits.earlier_wait_s('r1', 2.0, 0.0)
        self.assertEqual(self.waits.earlier_wait_s('r1', 14.0, 1.0), 0.0)
        self.assertAlmostEqual(self.waits.earlier_wait_s('r1', 2.0, 2.0), 12.0)

    def test_forgets_longest_wait_after_ttl(self):
        self.waits.earlier_wait_s('r1', 14.0, 0.0)
        later_s = waits.LONGEST_WAIT_TTL_S + 1.0
        self.assertEqual(self.waits.earlier_wait_s('r1', 5.0, later_s), 0.0)
        self.assertEqual(
            self.waits.earlier_wait_s('r1', 5.0, later_s + 1.0), 0.0
        )
