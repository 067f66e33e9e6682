import unittest

from bulrushrudder.engines import kept_bytes


class KeptBytesTests(unittest.TestCase):
    def setUp(self):
        self.kept = kept_bytes.KeptBytes(100)
        self.given_up = []

    def update(self, reader, size):
        self.kept.update(reader, size, lambda: self.given_up.append(reader))

    def test_largest_answer_is_given_up_above_limit(self):
        for reader, size in (('a', 60), ('b', 30), ('b', 40)):
            self.update(reader, size)
        self.assertEqual(self.given_up, [])
        self.update('b', 41)
        self.assertEqual(self.given_up, ['a'])

    def test_answer_that_was_read_does_not_count(self):
        self.update('a', 90)
        self.kept.release('a')
        self.kept.release('a')
        self.update('b', 100)
        self.assertEqual(self.given_up, [])
