import unittest

from bulrushrudder.placement import cell
from bulrushrudder.placement import events
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import places

# A prompt of 1,000 tokens takes a prefill server 0.1 s and a decode
# server 0.2 s.
INITIAL_SPEED = servers.InitialSpeed(
    prefill_tokens_per_s=10_000.0, token_s=0.01
)
BETWEEN_TOKENS_S = 0.3


class ReadByDecodeServersTests(unittest.TestCase):
    def setUp(self):
        self.cell = cell.Cell(most_ahead=0)

    def change_servers(self, prefills, decodes):
        event = places.servers_changed(
            prefills, decodes, can_prefill=True, initial_speed=INITIAL_SPEED
        )
        self.cell.handle(event, 0.0)

    def ask(self, number, now_s, **changes):
        asked = places.asked(
            number, between_tokens_s=BETWEEN_TOKENS_S, **changes
        )
        return places.grants(self.cell.handle(asked, now_s))

    def tick(self, now_s):
        return places.grants(self.cell.handle(events.Ticked(), now_s))

    def test_reads_one_prompt_within_the_time_between_two_tokens(self):
        self.change_servers(0, 1)
        self.assertEqual(len(self.ask(1, 0.0)), 1)
        self.assertEqual(self.ask(2, 0.0), [])
        self.assertEqual(self.tick(0.2), [])
        (grant,) = self.tick(0.3)
        self.assertEqual((grant.prefill, grant.decode), ('', 'decode-0'))

    def test_a_long_prompt_is_read_to_its_end_before_the_next(self):
        self.change_servers(0, 1)
        self.ask(1, 0.0, prompt_tokens=3000)
        self.assertEqual(self.ask(2, 0.3), [])
        self.assertEqual(len(self.tick(0.6)), 1)

    def test_each_server_reads_its_own(self):
        self.change_servers(0, 2)
        (first,) = self.ask(1, 0.0)
        (second,) = self.ask(2, 0.0)
        self.assertNotEqual(first.decode, second.decode)

    def test_on_time_as_long_as_a_decode_server_can_read_it(self):
        self.change_servers(0, 1)
        self.ask(1, 0.0)
        waits = {'late_counts': True, 'first_token_s': 0.5}
        self.assertEqual(self.ask(2, 0.0, **waits), [])
        waits['first_token_s'] = 0.9
        self.assertEqual(self.ask(3, 0.0, **waits), [])
        (grant,) = self.tick(0.3)
        self.assertEqual(grant.call, 3)


class FailingServersTests(unittest.TestCase):
    def setUp(self):
        self.cell = cell.Cell(most_ahead=0)
        self.cell.handle(places.servers_changed(1, 2, places=2), 0.0)
        self.number = 0

    def ask(self, now_s):
        """Return the hold and the decode server of one more request."""
        self.number += 1
        asked = places.asked(self.number)
        (grant,) = places.grants(self.cell.handle(asked, now_s))
        return asked.hold, grant.decode

    def fail(self, now_s):
        """Have the decode server of one more request fail it."""
        hold, decode = self.ask(now_s)
        released = events.PlaceReleased(hold, verdict=events.Verdict.FAILED)
        self.cell.handle(released, now_s)
        return decode

    def test_come_after_those_that_serve_until_these_are_full(self):
        failing = self.fail(0.0)
        found = [self.ask(1.0 + number)[1] for number in range(4)]
        self.assertEqual(found.count(failing), 2)
        self.assertNotIn(failing, found[:2])

    def test_are_taken_to_serve_again_after_a_while(self):
        failing = self.fail(0.0)
        _, other = self.ask(60.0)
        self.assertEqual(other, failing)
