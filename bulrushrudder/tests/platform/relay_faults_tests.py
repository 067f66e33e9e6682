"""Faults of VMs through which calls of a VM without paths go."""

import asyncio

from bulrushrudder.tests.builders import cut_off_case
from bulrushrudder.tests.builders import cuttable_network
from bulrushrudder.tests.builders import entries_fleet
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines

WORK_S = 1.5
MANY = 100
QUICK_S = 1.0
FLAPS = 8
FLAP_S = 0.7
PIECE = b'id: 1\ndata: ' + b'x' * 64 * 1024 + b'\n\n'
PIECES = 1000
MAX_PIECES_UNREAD = 300
UNKNOWN = (502, 504)


class RelayTestCase(cut_off_case.CutOffTestCase):
    async def cut_first(self):
        """Cut the paths of the first VM, and make the runners slow."""
        await self.cut(cuttable_network.REFUSED, self.cut_off)
        for runner in self.runners_by_id.values():
            runner.set_reply(entries_fleet.slowly(WORK_S))

    async def begin(self, path):
        """Begin a call; return its task and the Entry that relays it."""
        others = self.fleet.entries[1:]
        before = [entry.network.sent_bytes for entry in others]
        calling = asyncio.create_task(self.cut_off.call(path))
        await asyncio.sleep(WORK_S / 2)
        relays = [
            entry
            for entry, sent in zip(others, before, strict=True)
            if entry.network.sent_bytes > sent
        ]
        return calling, relays[0]


class StopTests(RelayTestCase):
    # Guards against calls of another VM that a planned stop cuts off.
    async def test_stop_of_relay_lets_calls_end(self):
        await self.cut_first()
        begun = [await self.begin(path) for path in ('/book/1', '/once/1')]
        await self.other.stop()
        booked, stream = [await calling for calling, _ in begun]
        self.assertEqual((booked.status, stream.status), (200, 200))
        self.assertEqual(stream.body, entries_fleet.STREAM)
        for seen in (booked, stream):
            self.assertEqual(self.runs()[seen.attempt], 1)


class KillTests(RelayTestCase):
    entries = 3

    # Guards against a call that is run twice, or told as not run, since
    # the VM that forwards it has gone.
    async def test_unrepeatable_call_is_unknown_when_relay_is_killed(self):
        await self.cut_first()
        calling, relay = await self.begin('/book/1')
        await relay.kill()
        seen = await calling
        self.assertIn(seen.status, UNKNOWN)
        self.assertEqual(self.runs()[seen.attempt], 1)

    async def test_stream_goes_on_when_relay_is_killed(self):
        await self.cut_first()
        calling, relay = await self.begin('/drafts/1')
        await relay.kill()
        seen = await calling
        self.assertEqual(seen.status, 200, seen)
        self.assertEqual(seen.body, entries_fleet.STREAM)

    # Guards against calls that keep to a relay which has lost its paths.
    async def check_relay_cut(self, name):
        await self.cut(cuttable_network.REFUSED, self.cut_off)
        calling, relay = await self.begin('/find/1')
        await calling
        relay.network.cut(cuttable_network.CUTS[name])
        await self.cut_off.call_for(cut_off_case.CONTACT_S, '/find/1')
        await self.check_served(self.cut_off, relay)

    async def test_serves_when_relay_is_refused_too(self):
        await self.check_relay_cut('refused')

    async def test_serves_when_relay_hangs_too(self):
        await self.check_relay_cut('hanging')


class LoadTests(RelayTestCase):
    # Guards against a relay that serves few calls at once.
    async def test_many_calls_go_through_one_relay(self):
        await self.cut(cuttable_network.REFUSED, self.cut_off)
        answers = await asyncio.gather(
            *(self.cut_off.call('/book/1') for _ in range(MANY))
        )
        for seen in answers:
            self.assertEqual(seen.status, 200, seen)
            self.assertEqual(seen.body.decode(), seen.attempt)
            self.assertEqual(self.runs()[seen.attempt], 1)

    # Guards against a slow caller who fills the memory of a relay, or
    # keeps others waiting.
    async def test_slow_reader_holds_up_nobody_else(self):
        await self.cut(cuttable_network.REFUSED, self.cut_off)
        sent = []

        async def send_all(writer):
            for _ in range(PIECES):
                writer.write(scripted_engines.chunk(PIECE))
                await writer.drain()
                sent.append(PIECE)

        def flood(call):
            attempt = call.headers.get('Attempt-Id')
            if call.target != '/once/slow' or not entries_fleet.is_run(call):
                return entries_fleet.generate(call)
            return [runners.stream_head(attempt), send_all]

        for server_id in ('i-decode-a', 'i-decode-b', 'i-prefill'):
            self.runners_by_id[server_id].set_reply(flood)
        attempt = self.fleet.next_attempt()
        async with self.cut_off.connect('/once/slow', attempt) as response:
            self.assertEqual(response.status, 200)
            response.connection.transport.pause_reading()
            for path in ('/find/1', '/drafts/1', '/find/1', '/drafts/1'):
                seen = await self.cut_off.call(path)
                self.assertEqual(seen.status, 200, (path, seen))
                self.assertLess(seen.took_s, QUICK_S)
            self.assertGreater(len(sent), 0)
            self.assertLess(len(sent), MAX_PIECES_UNREAD)

    # Guards against untrue answers while paths come and go.
    async def test_answers_are_true_while_paths_flap(self):
        loads = [
            asyncio.create_task(
                self.cut_off.call_for(2 * FLAPS * FLAP_S, path)
            )
            for path in ('/book/1', '/drafts/1')
        ]
        for number in range(FLAPS):
            cuts = list(cuttable_network.CUTS.values())
            self.cut_off.network.cut(cuts[number % len(cuts)])
            await asyncio.sleep(FLAP_S)
            self.cut_off.network.heal()
            await asyncio.sleep(FLAP_S)
        booked, streams = await asyncio.gather(*loads)
        for seen in booked:
            runs = self.runs()[seen.attempt]
            self.assertLessEqual(runs, 1, seen)
            self.assertTrue(seen.status != 503 or runs == 0, seen)
            self.assertTrue(seen.status != 200 or runs == 1, seen)
        for seen in streams:
            if seen.status == 200:
                self.assertEqual(seen.body, entries_fleet.STREAM)
        await self.cut_off.call_for(cut_off_case.CONTACT_S, '/find/1')
        await self.check_served(self.cut_off)
