import unittest

from bulrushrudder.entry import waits


class UsualWaitsTests(unittest.TestCase):
    def setUp(self):
        self.waits = waits.UsualWaits()

    def test_who_tries_again_has_less_time_than_others(self):
        self.assertEqual(self.waits.spent_s('r1', 14.0, 0.0), 0.0)
        self.assertAlmostEqual(self.waits.spent_s('r1', 10.5, 1.0), 3.5)
        self.assertEqual(self.waits.spent_s('r1', 14.0, 2.0), 0.0)

    def test_some_callers_are_a_little_less_patient(self):
        self.waits.spent_s('r1', 14.0, 0.0)
        self.assertEqual(self.waits.spent_s('r1', 12.0, 1.0), 0.0)

    def test_routes_are_apart(self):
        self.waits.spent_s('r1', 14.0, 0.0)
        self.assertEqual(self.waits.spent_s('r2', 2.0, 1.0), 0.0)

    def test_a_longer_wait_counts_from_then_on(self):
        self.waits.spent_s('r1', 2.0, 0.0)
        self.assertEqual(self.waits.spent_s('r1', 14.0, 1.0), 0.0)
        self.assertAlmostEqual(self.waits.spent_s('r1', 2.0, 2.0), 12.0)

    def test_a_wait_that_nobody_states_any_more_is_forgotten(self):
        self.waits.spent_s('r1', 14.0, 0.0)
        later_s = waits.LONGEST_WAIT_TTL_S + 1.0
        self.assertEqual(self.waits.spent_s('r1', 5.0, later_s), 0.0)
        self.assertEqual(self.waits.spent_s('r1', 5.0, later_s + 1.0), 0.0)
