import unittest

from bulrushrudder.backpressure import statements
from bulrushrudder.backpressure import table
from bulrushrudder.tests.builders import fleet

SERVER = fleet.server()


def answer(*stated, sent_s=0.0, received_s=0.0):
    return statements.Answer(sent_s, received_s, stated)


class StatementTableTests(unittest.TestCase):
    def setUp(self):
        self.table = table.StatementTable()

    def test_limit_holds_until_a_later_request_shows_its_end(self):
        limit = statements.RateLimit(2.0)
        none = statements.RateLimit(None)
        changes = self.table.record(SERVER, answer(limit, received_s=1.0))
        self.assertEqual(changes, (table.LimitChanged(2.0),))
        crossed = answer(none, sent_s=0.9, received_s=1.1)
        self.assertEqual(self.table.record(SERVER, crossed), ())
        self.assertEqual(self.table.requests_per_s(SERVER), 2.0)
        later = answer(none, sent_s=1.1, received_s=1.2)
        self.assertEqual(
            self.table.record(SERVER, later), (table.LimitChanged(None),)
        )

    def test_new_incarnation_starts_without_statements(self):
        self.table.record(
            SERVER, answer(statements.Leaving(), statements.RateLimit(1.0))
        )
        renewed = fleet.server(incarnation=2)
        self.assertTrue(self.table.takes_work(renewed, 0.0))
        self.assertIsNone(self.table.requests_per_s(renewed))
        self.table.record(renewed, answer(statements.RateLimit(None)))
        late = self.table.record(SERVER, answer(statements.Leaving()))
        self.assertEqual(late, ())
        self.assertTrue(self.table.takes_work(renewed, 0.0))

    def test_later_end_of_two_pauses_binds(self):
        self.table.record(SERVER, answer(statements.Pause(5.0)))
        earlier = answer(statements.Pause(1.0), received_s=1.0)
        self.assertEqual(self.table.record(SERVER, earlier), ())
        self.assertFalse(self.table.takes_work(SERVER, 4.9))
        self.assertTrue(self.table.takes_work(SERVER, 5.0))

    def test_invalid_statement_is_reported_once_a_minute(self):
        invalid = statements.Invalid('x')
        first = self.table.record(SERVER, answer(invalid))
        self.assertEqual(first, (table.InvalidStated('x'),))
        again = answer(invalid, received_s=59.0)
        self.assertEqual(self.table.record(SERVER, again), ())
        later = answer(invalid, received_s=60.0)
        self.assertEqual(len(self.table.record(SERVER, later)), 1)

    def test_memory_is_bounded_by_present_servers(self):
        for number in range(4000):
            self.table.record(
                fleet.server(f's-{number}'), answer(statements.Leaving())
            )
        self.table.forget_absent({'s-1': None}, table.RETENTION_S + 1.0)
        present = {
            f's-{number}': fleet.server(f's-{number}')
            for number in range(4000)
        }
        self.assertEqual(self.table.unavailable(present, 0.0), ('s-1',))
