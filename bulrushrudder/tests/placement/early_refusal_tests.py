import unittest

from bulrushrudder.overload import return_times
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import early_refusal
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import places

GRANTS = 20


class EarlyRefusalTests(unittest.TestCase):
    """A pool that grants 10 a second, with a backlog of rank 0.

    Guards against callers that wait in vain, and against the refusal of
    requests that would have been served.
    """

    def setUp(self):
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)

    def grant(self, count):
        pool = places.servers_changed(4, 1, places=count)
        self.coordinator.handle(pool, 0.0)
        for number in range(count):
            self.ask(number, number * 0.1, rank=0)

    def ask(self, number, now_s, **changes):
        fields = {
            'interactive': False,
            'accepts_late_answer': True,
            'patience_s': 3.0,
            'first_token_s': 1.0,
            **changes,
        }
        request = places.placement_request(number, **fields)
        return self.coordinator.handle(request, now_s)

    def wait(self, count, **changes):
        for number in range(100, 100 + count):
            self.assertEqual(self.ask(number, 2.0, **changes), [])

    def ask_late(self, rank, **changes):
        self.ask(1, 2.0, rank=rank, first_token_s=0.5, **changes)
        return places.refusals(self.coordinator.handle(events.Ticked(), 2.4))

    def test_refuses_late_request_that_backlog_lets_no_servers_for(self):
        self.grant(GRANTS)
        self.wait(50, rank=0, patience_s=9.0, first_token_s=9.0)
        (refusal,) = self.ask_late(1)
        self.assertGreater(refusal.retry_after_s, 1.0)
        self.assertLessEqual(refusal.retry_after_s, return_times.MAX_DELAY_S)

    def test_higher_rank_than_backlog_waits(self):
        self.grant(GRANTS)
        self.wait(50, rank=1, patience_s=9.0, first_token_s=9.0)
        self.assertEqual(self.ask_late(0), [])

    def test_timely_request_waits_beside_any_number_of_late_ones(self):
        self.grant(GRANTS)
        self.wait(50, rank=0, patience_s=9.0, first_token_s=0.5)
        self.assertEqual(self.ask(1, 2.3, rank=1), [])
        ticked = self.coordinator.handle(events.Ticked(), 2.4)
        self.assertEqual(places.refusals(ticked), [])

    def test_lower_rank_waits_that_its_least_share_serves(self):
        self.grant(GRANTS)
        for number in range(200, 240):
            self.ask(number, 2.0, rank=1, patience_s=20.0, first_token_s=20.0)
        self.wait(50, rank=0, patience_s=90.0, first_token_s=90.0)
        self.assertEqual(self.ask_late(1, account='globex'), [])

    def test_waits_while_pace_is_measured_from_few_grants(self):
        self.grant(early_refusal.MIN_GRANTS - 1)
        self.wait(50, rank=0, patience_s=9.0, first_token_s=9.0)
        self.assertEqual(self.ask_late(1), [])

    # Guards against refusals of high ranks for a backlog of low ones,
    # where all servers of a pool state limits.

    def test_high_rank_waits_before_low_ones_for_limited_servers(self):
        self.grant(1)
        limit = events.LimitReported('decode-0', 1, 1.0)
        self.coordinator.handle(limit, 0.0)
        for number in range(100, 110):
            self.ask(number, 1.0, rank=1, patience_s=90.0, first_token_s=90.0)
        self.assertEqual(self.ask(1, 1.0, rank=0), [])
        self.assertTrue(places.refusals(self.ask(2, 1.0, rank=1)))
