import unittest

from bulrushrudder.lifecycle import suspect_expiry
from bulrushrudder.state import suspect_parts
from bulrushrudder.tests.builders import crashes

SUSPECT_S = suspect_expiry.SUSPECT_RETENTION_S
TRIAL_S = suspect_expiry.FIRST_TRIAL_S
LONG_S = 24 * 3600.0


class SuspectExpiryTests(unittest.TestCase):
    def setUp(self):
        self.expiry = suspect_expiry.SuspectExpiry()
        self.reports = [
            crashes.report(f'r{n}', ('part',), n) for n in range(3)
        ]

    def due(self, now_s, crash_count):
        suspects = crashes.table(*self.reports[:crash_count])
        return self.expiry.due(suspects.by_part, now_s)

    def test_suspect_part_is_forgotten_after_its_retention(self):
        self.assertEqual(self.due(0.0, 1).forgotten, ())
        self.assertEqual(self.due(SUSPECT_S - 1, 1).forgotten, ())
        self.assertIn('part', self.due(SUSPECT_S, 1).forgotten)

    def test_another_crash_starts_the_retention_anew(self):
        self.due(0.0, 1)
        self.assertNotIn('part', self.due(SUSPECT_S, 2).forgotten)
        self.assertIn('part', self.due(2 * SUSPECT_S, 2).forgotten)

    def test_quarantined_part_is_tried_but_not_forgotten(self):
        self.due(0.0, 3)
        self.assertEqual(self.due(TRIAL_S - 1, 3).tried, ())
        self.assertEqual(self.due(TRIAL_S, 3).tried, ('part',))
        self.assertNotIn('part', self.due(SUSPECT_S, 3).forgotten)

    def test_time_of_parts_that_were_cleared_is_forgotten(self):
        self.due(0.0, 1)
        self.due(1.0, 0)
        self.assertEqual(self.due(SUSPECT_S, 1).forgotten, ())

    def test_deadly_part_is_tried_less_and_less_often(self):
        suspects = crashes.table(*self.reports)
        trials_s = []
        for now_s in range(int(LONG_S)):
            tried = self.expiry.due(suspects.by_part, now_s).tried
            if 'part' in tried:
                trials_s.append(now_s)
                index = len(trials_s) + 10
                suspects.apply(index, suspect_parts.TryParts(('part',)))
                self.assertFalse(suspects.refuses('new', ('part',)))
                crash = crashes.report(f'n{index}', ('part',), index)
                suspects.apply(index, crash)
                self.assertTrue(suspects.refuses('new', ('part',)))
        for trial_s, expected_s in zip(trials_s, (20, 80, 260), strict=False):
            self.assertAlmostEqual(trial_s, expected_s, delta=3)
        self.assertLess(len(trials_s), 32)

    def test_part_that_is_sound_by_now_is_cleared_by_its_trial(self):
        suspects = crashes.table(
            *self.reports,
            suspect_parts.TryParts(('part',)),
            suspect_parts.ClearParts(('part',)),
            crashes.report('later', ('part',), 9),
        )
        self.assertFalse(suspects.refuses('new', ('part',)))
