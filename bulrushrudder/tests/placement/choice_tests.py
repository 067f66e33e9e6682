import unittest

from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import places

# A prompt of 1,000 tokens takes a prefill server 0.1 s and a decode
# server 0.2 s.
INITIAL_SPEED = servers.InitialSpeed(
    prefill_tokens_per_s=10_000.0, token_s=0.01
)
BETWEEN_TOKENS_S = 0.3


class DecodeServerReadsPromptTests(unittest.TestCase):
    def setUp(self):
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)

    def change_servers(self, prefills, decodes):
        event = places.servers_changed(
            prefills, decodes, can_prefill=True, initial_speed=INITIAL_SPEED
        )
        self.coordinator.handle(event, 0.0)

    def ask(self, number, now_s, **changes):
        request = places.placement_request(
            number, between_tokens_s=BETWEEN_TOKENS_S, **changes
        )
        return places.grants(self.coordinator.handle(request, now_s))

    def tick(self, now_s):
        return places.grants(self.coordinator.handle(events.Ticked(), now_s))

    def test_starts_one_prompt_per_between_token_target(self):
        self.change_servers(0, 1)
        self.assertEqual(len(self.ask(1, 0.0)), 1)
        self.assertEqual(self.ask(2, 0.0), [])
        self.assertEqual(self.tick(0.2), [])
        (grant,) = self.tick(0.3)
        self.assertEqual((grant.prefill, grant.decode), ('', 'decode-0'))

    def test_finishes_long_prompt_before_next(self):
        self.change_servers(0, 1)
        self.ask(1, 0.0, prompt_tokens=3000)
        self.assertEqual(self.ask(2, 0.3), [])
        self.assertEqual(len(self.tick(0.6)), 1)

    def test_spreads_prompts_over_servers(self):
        self.change_servers(0, 2)
        (first,) = self.ask(1, 0.0)
        (second,) = self.ask(2, 0.0)
        self.assertNotEqual(first.decode, second.decode)

    def test_request_past_its_target_goes_after_one_on_time(self):
        self.change_servers(0, 1)
        self.ask(1, 0.0)
        request_fields = {'accepts_late_answer': True, 'first_token_s': 0.5}
        self.assertEqual(self.ask(2, 0.0, **request_fields), [])
        request_fields['first_token_s'] = 0.9
        self.assertEqual(self.ask(3, 0.0, **request_fields), [])
        (grant,) = self.tick(0.3)
        self.assertEqual(grant.call, 3)


class FailingServerTests(unittest.TestCase):
    def setUp(self):
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)
        self.coordinator.handle(places.servers_changed(1, 2, places=2), 0.0)
        self.number = 0

    def ask(self, now_s):
        """Place another request and return its hold and decode server."""
        self.number += 1
        request = places.placement_request(self.number)
        (grant,) = places.grants(self.coordinator.handle(request, now_s))
        return request.hold, grant.decode

    def fail(self, now_s):
        """Place another request and report a failure of its server."""
        hold, decode = self.ask(now_s)
        release = events.PlaceReleased(hold, verdict=events.Verdict.FAILED)
        self.coordinator.handle(release, now_s)
        return decode

    def test_chosen_only_when_healthy_servers_are_full(self):
        failing = self.fail(0.0)
        chosen = [self.ask(1.0 + number)[1] for number in range(4)]
        self.assertEqual(chosen.count(failing), 2)
        self.assertNotIn(failing, chosen[:2])

    def test_chosen_again_after_failures_decay(self):
        failing = self.fail(0.0)
        _, other = self.ask(60.0)
        self.assertEqual(other, failing)


class UnknownLinkTests(unittest.TestCase):
    def test_server_with_unknown_link_rate_is_usable(self):
        granting = coordinator.Coordinator()
        event = places.servers_changed(1, 1, link_tokens_per_s=0.0)
        granting.handle(event, 0.0)
        decided = granting.handle(places.placement_request(), 0.0)
        self.assertEqual(len(places.grants(decided)), 1)
