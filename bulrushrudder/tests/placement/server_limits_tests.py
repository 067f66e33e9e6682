import unittest

from bulrushrudder.placement import actions
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import places

WINDOW_S = 4.0
TICK_S = 0.05
SPEED = servers.InitialSpeed(0.01, 30_000.0, 0.004)


def limit(server, requests_per_s):
    return events.LimitReported(server, 1, requests_per_s)


class ServerLimitTests(unittest.TestCase):
    def setUp(self):
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)

    def handle(self, event, now_s=0.0):
        return self.coordinator.handle(event, now_s)

    def grants_during(self, start_s, end_s, gap_s, **changes):
        """Request places at a steady pace; return times and grants."""
        granted = []
        steps = round((end_s - start_s) / TICK_S)
        every = round(gap_s / TICK_S)
        for step in range(steps):
            now_s = start_s + step * TICK_S
            event = events.Ticked()
            if step % every == 0:
                number = round(now_s / TICK_S) + 1
                event = places.placement_request(number, **changes)
            for grant in places.grants(self.handle(event, now_s)):
                granted.append((now_s, grant))
                self.handle(
                    events.PlaceReleased(places.hold_id(grant.call)), now_s
                )
        return granted

    def test_fleet_grants_no_more_than_the_limit_of_a_server(self):
        self.handle(places.servers_changed(decodes=1))
        self.handle(limit('decode-0', 1.0))
        granted = self.grants_during(0.0, 20.0, 0.1)
        times = [now_s for now_s, _ in granted]
        most = max(sum(t <= u < t + WINDOW_S for u in times) for t in times)
        self.assertLessEqual(most, WINDOW_S * 1.0 + 1)
        self.assertGreaterEqual(len(times), 18)

    def test_unlimited_servers_take_what_is_beyond_the_limit(self):
        self.handle(places.servers_changed(decodes=2))
        self.handle(limit('decode-0', 0.5))
        granted = self.grants_during(0.0, 10.0, 0.2)
        self.assertEqual(len(granted), 50)

    def test_decode_servers_read_prompts_if_prefill_servers_are_limited(self):
        self.handle(
            places.servers_changed(can_prefill=True, initial_speed=SPEED)
        )
        self.handle(limit('prefill-0', 0.5))
        granted = self.grants_during(0.0, 10.0, 1.0)
        self.assertEqual(len(granted), 10)
        self.assertIn('', {grant.prefill for _, grant in granted})

    def test_request_that_limits_leave_no_time_for_is_refused_at_once(self):
        self.handle(places.servers_changed())
        self.handle(limit('decode-0', 1.0))
        refused = []
        for number in range(1, 10):
            refused += places.refusals(
                self.handle(
                    places.placement_request(number, patience_s=3.0), 0.0
                )
            )
        self.assertEqual([r.call for r in refused], [5, 6, 7, 8, 9])
        self.assertGreaterEqual(refused[0].retry_after_s, 3.0)

    def test_new_coordinator_does_not_refuse_for_a_pace_not_yet_measured(
        self,
    ):
        for limited in (1, 20):
            taking_over = coordinator.Coordinator(ready_s=0.3)
            taking_over.handle(places.servers_changed(decodes=20), 0.0)
            for number in range(limited):
                taking_over.handle(limit(f'decode-{number}', 2.0), 0.0)
            for number in range(1, 41):
                request = places.placement_request(number, patience_s=3.0)
                decided = taking_over.handle(request, 0.1)
                self.assertEqual(places.refusals(decided), [])

    def test_limit_of_an_earlier_incarnation_does_not_bind(self):
        self.handle(places.servers_changed(incarnation=2))
        self.handle(limit('decode-0', 1.0))
        granted = self.grants_during(0.0, 5.0, 0.5)
        self.assertEqual(len(granted), 10)

    def test_call_goes_to_the_limited_server_that_is_due_first(self):
        self.handle(events.ServersChanged(()))
        requested = events.CallRequested(
            1, (limit('p-1', 1.0), limit('p-2', 4.0)), 0.5
        )
        (granted,) = self.handle(requested)
        self.assertEqual(granted, actions.GrantCall(1, 'p-2', 0.25))
        (granted,) = self.handle(requested)
        self.assertEqual(granted, actions.GrantCall(1, 'p-2', 0.5))
        (deferred,) = self.handle(requested)
        self.assertIsInstance(deferred, actions.DeferCall)
