import unittest

from bulrushrudder.lifecycle import suspect_expiry
from bulrushrudder.tests.builders import crashes

SUSPECT_S = suspect_expiry.SUSPECT_RETENTION_S
QUARANTINE_S = suspect_expiry.QUARANTINE_RETENTION_S


class SuspectExpiryTests(unittest.TestCase):
    def setUp(self):
        self.expiry = suspect_expiry.SuspectExpiry()
        self.reports = [
            crashes.report(f'r{n}', ('part',), n) for n in range(3)
        ]

    def expired(self, now_s, crash_count):
        suspects = crashes.table(*self.reports[:crash_count])
        return self.expiry.expired(suspects.by_part, now_s)

    def test_suspect_part_is_forgotten_after_its_retention(self):
        self.assertEqual(self.expired(0.0, 1), ())
        self.assertEqual(self.expired(SUSPECT_S - 1, 1), ())
        self.assertIn('part', self.expired(SUSPECT_S, 1))

    def test_another_crash_starts_the_retention_anew(self):
        self.expired(0.0, 1)
        self.assertNotIn('part', self.expired(SUSPECT_S, 2))
        self.assertIn('part', self.expired(2 * SUSPECT_S, 2))

    def test_quarantined_part_is_kept_longer(self):
        self.expired(0.0, 3)
        self.assertNotIn('part', self.expired(QUARANTINE_S - 1, 3))
        self.assertIn('part', self.expired(QUARANTINE_S, 3))

    def test_time_of_parts_that_were_cleared_is_forgotten(self):
        self.expired(0.0, 1)
        self.expired(1.0, 0)
        self.assertEqual(self.expired(SUSPECT_S, 1), ())
