import unittest

from bulrushrudder.core import digests
from bulrushrudder.lifecycle import stream_origins
from bulrushrudder.membership import software_expiry


class StreamOriginsTests(unittest.TestCase):
    def setUp(self):
        self.origins = stream_origins.StreamOrigins()

    def add(self, stream, software, now_s=0.0):
        record = stream_origins.StreamRecord(stream, software)
        return self.origins.add(record, now_s)

    def test_first_record_of_a_stream_counts(self):
        self.assertTrue(self.add('s', 'v1'))
        self.assertFalse(self.add('s', 'v2'))
        self.assertEqual(self.origins.software('s', 1.0), 'v1')

    # Guards against ids near the limit on headers that are kept for a
    # minute each.

    def test_stream_with_a_long_id_is_kept_and_found_under_a_digest(self):
        long_id = 'a' * 15_000
        self.assertTrue(self.add(long_id, 'v1'))
        self.assertEqual(self.origins.software(long_id, 1.0), 'v1')
        self.assertIsNone(self.origins.software(long_id + 'a', 1.0))
        (record,) = self.origins.recent(1.0)
        self.assertLessEqual(len(record.stream), digests.MAX_ID_LENGTH)
        self.assertFalse(self.add(record.stream, 'v2'))

    def test_records_are_forgotten_after_their_time(self):
        self.add('s', 'v1')
        self.add('t', 'v1', 30.0)
        end_s = stream_origins.RETENTION_S
        self.assertEqual(len(self.origins.recent(end_s - 0.1)), 2)
        self.assertIsNone(self.origins.software('s', end_s))
        self.assertEqual(self.origins.software('t', end_s), 'v1')


class SoftwareExpiryTests(unittest.TestCase):
    def test_version_is_forgotten_after_it_was_absent_for_long(self):
        expiry = software_expiry.SoftwareExpiry()
        absent = [('m', 'v1')]
        late_s = software_expiry.RETENTION_S + 1.0
        self.assertEqual(expiry.due(absent, 0.0), [])
        self.assertEqual(expiry.due(absent, late_s - 2.0), [])
        self.assertEqual(expiry.due(absent, late_s), absent)

    def test_version_that_came_back_starts_anew(self):
        expiry = software_expiry.SoftwareExpiry()
        late_s = software_expiry.RETENTION_S + 1.0
        expiry.due([('m', 'v1')], 0.0)
        expiry.due([], 1.0)
        self.assertEqual(expiry.due([('m', 'v1')], late_s), [])
