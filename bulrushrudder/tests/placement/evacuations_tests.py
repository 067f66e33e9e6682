import unittest

from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import places

PREFILL = fleet.server('p', 'prefill')
DECODE = fleet.server('d')


class EvacuationTests(unittest.TestCase):
    def setUp(self):
        self.coordinator = coordinator.Coordinator()

    def change(self, servers, evacuated=(), now_s=1.0):
        event = events.ServersChanged(tuple(servers), tuple(evacuated))
        return self.coordinator.handle(event, now_s)

    def ask(self, number, now_s=1.0):
        request = places.placement_request(number)
        return self.coordinator.handle(request, now_s)

    def test_requests_are_refused_at_once_when_all_is_evacuated(self):
        # Otherwise they wait in vain until their patience ends.
        for servers, evacuated in (
            ((), (PREFILL, DECODE)),
            ((PREFILL,), (DECODE,)),
            ((DECODE,), (PREFILL,)),
        ):
            with self.subTest(servers=servers):
                self.coordinator = coordinator.Coordinator()
                self.ask(1)
                self.assertEqual(self.coordinator.queue_length, 1)
                refused = places.refusals(self.change(servers, evacuated))
                self.assertEqual([r.call for r in refused], [1])
                (refused,) = places.refusals(self.ask(2))
                self.assertGreater(refused.retry_after_s, 0.0)

    def test_requests_wait_while_servers_have_not_joined(self):
        self.change((PREFILL,))
        self.assertEqual(self.ask(1), [])

    def test_restored_servers_get_queued_work_within_their_limit(self):
        # A limit that was forgotten meanwhile lets a burst through.
        self.change((PREFILL, DECODE))
        limit = events.LimitReported(DECODE.id, DECODE.incarnation, 1.0)
        self.coordinator.handle(limit, 1.0)
        self.assertEqual(len(places.grants(self.ask(1, now_s=5.0))), 1)
        self.change((), (PREFILL, DECODE), now_s=5.0)
        self.change((PREFILL, DECODE), now_s=5.0)
        self.assertEqual(places.grants(self.ask(2, now_s=5.0)), [])
