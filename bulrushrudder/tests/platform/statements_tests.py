import unittest

from bulrushrudder.backpressure import statements
from bulrushrudder.engines import responses
from bulrushrudder.platform import statements as reader

NO_LIMIT = statements.RateLimit(None)


def read(*headers, status=200):
    return reader.read(responses.Head(status, headers))


class ReadTests(unittest.TestCase):
    def test_reads_limit_leaving_and_pause(self):
        stated = read(
            ('Server-Limit', '2.5'),
            ('server-leaving', '1'),
            ('Retry-After', '0.75'),
            status=503,
        )
        self.assertEqual(
            stated,
            (
                statements.RateLimit(2.5),
                statements.Leaving(),
                statements.Pause(0.75),
            ),
        )

    def test_answer_without_headers_states_no_limit(self):
        self.assertEqual(read(), (NO_LIMIT,))

    def test_time_to_come_back_counts_with_status_503_only(self):
        self.assertEqual(read(('Retry-After', '3'), status=429), (NO_LIMIT,))

    def test_unreadable_values_are_reported_and_change_nothing(self):
        for value in ('', 'x', '-1', 'nan', 'inf', '1e3', '1,2', '9' * 13):
            with self.subTest(value):
                (stated,) = read(('Server-Limit', value))
                self.assertIsInstance(stated, statements.Invalid)
        for value in ('', 'Sat, 05 Dec 2026 08:00:00 GMT', '-1', 'nan'):
            with self.subTest(value):
                _, stated = read(('Retry-After', value), status=503)
                self.assertIsInstance(stated, statements.Invalid)
        for value in ('true', '2', ''):
            with self.subTest(value):
                _, stated = read(('Server-Leaving', value))
                self.assertIsInstance(stated, statements.Invalid)

    def test_zero_states_neither_leaving_nor_a_pause(self):
        stated = read(
            ('Server-Leaving', '0'), ('Retry-After', '0'), status=503
        )
        self.assertEqual(stated, (NO_LIMIT,))

    def test_strictest_of_several_values_counts(self):
        self.assertEqual(
            read(('Server-Limit', '5'), ('Server-Limit', '2')),
            (statements.RateLimit(2.0),),
        )
        _, pause = read(('Retry-After', '1'), ('Retry-After', '4'), status=503)
        self.assertEqual(pause, statements.Pause(4.0))

    def test_long_pause_is_cut(self):
        _, pause = read(('Retry-After', '7200'), status=503)
        self.assertEqual(pause, statements.Pause(reader.MAX_PAUSE_S))
