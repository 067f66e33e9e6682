"""Calls whose connection to the server goes through another VM."""

import asyncio
import collections
import contextlib
import unittest

from bulrushrudder.tests.builders import cuttable_network
from bulrushrudder.tests.builders import entries_fleet
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines

PATHS = ('/find/1', '/book/1', '/drafts/1', '/once/1')
REPEATABLE = ('/find/1',)
START_TIMEOUT_S = 20.0
TIMEOUT_S = 5.0
STOP_S = 6.0
SILENCE_S = 1.2
SLOW_EVENT_S = 0.2


class RelayedCallsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(
            entries_fleet.running(3, stop_s=STOP_S)
        )
        self.runners_by_id = await self.fleet.add_runners()
        self.cut_off, self.other, self.third = self.fleet.entries
        for entry in self.fleet.entries:
            await self.wait_until_served(entry)

    async def wait_until_served(self, entry):
        """Wait until the roles of the fleet have settled."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for path in PATHS:
                while (await entry.call(path)).status != 200:
                    await asyncio.sleep(0.1)

    async def check_served(self, entry, paths):
        for path in paths:
            seen = await entry.call(path)
            self.assertEqual(seen.status, 200, (path, seen))
            runs = self.runs()[seen.attempt]
            if path in REPEATABLE:
                self.assertGreaterEqual(runs, 1, path)
            else:
                self.assertEqual(runs, 1, path)

    def runs(self):
        return collections.Counter(
            call.headers['Attempt-Id']
            for runner in self.runners_by_id.values()
            for call in runner.calls
            if entries_fleet.is_run(call)
        )

    def set_reply(self, reply):
        for runner in self.runners_by_id.values():
            runner.set_reply(reply)

    async def cut(self, *others):
        """Cut the paths of a VM, and let it find a relay."""
        for entry in (self.cut_off, *others):
            entry.network.cut(cuttable_network.REFUSED)
        await self.check_served(self.cut_off, PATHS)

    def work_slowly(self):
        """Make runners pause in an answer; return the Event of its begin."""
        began = asyncio.Event()

        async def pause(writer):
            began.set()
            await asyncio.sleep(SLOW_EVENT_S)

        def reply(call):
            if not entries_fleet.is_run(call):
                return entries_fleet.generate(call)
            if call.target.startswith('/book/'):
                return [pause, pause, pause, *entries_fleet.book(call)]
            first = int(call.headers.get('Last-Event-Id', 0)) + 1
            steps = [runners.stream_head(call.headers['Attempt-Id'])]
            for number in range(first, entries_fleet.EVENTS + 1):
                event = scripted_engines.chunk(runners.event(number))
                steps += [event, pause]
            return [*steps, scripted_engines.chunk(b'')]

        self.set_reply(reply)
        return began

    async def begin(self, path):
        """Begin a call, and wait until a server works on it."""
        began = self.work_slowly()
        calling = asyncio.create_task(self.cut_off.call(path))
        async with asyncio.timeout(TIMEOUT_S):
            await began.wait()
        return calling

    # Guards against failures of calls whose server another VM reaches.
    async def test_refused_path_costs_neither_a_failure_nor_a_retry(self):
        services = self.cut_off.process.services
        await self.cut()
        self.assertEqual(services.metrics.retries.values.store, {})
        avoided = services.reachability.servers_to_avoid(
            services.view.state.servers.by_id.values(),
            asyncio.get_running_loop().time(),
        )
        self.assertEqual(avoided, ())

    # Guards against crashes that a cut-off VM only believes to see.
    async def test_cut_in_mid_stream_is_not_reported_as_a_crash(self):
        calling = await self.begin('/once/1')
        self.cut_off.network.cut(cuttable_network.REFUSED)
        seen = await calling
        self.assertNotEqual(seen.status, 503)
        self.assertNotEqual(seen.body, entries_fleet.STREAM)
        await self.check_served(self.cut_off, ['/once/1'])
        suspects = self.other.process.view.state.suspect_parts
        self.assertEqual(suspects.by_part, {})

    # Guards against calls that run twice, or are said not to have run.
    async def test_lost_tunnel_leaves_unknown_whether_a_call_ran(self):
        await self.cut(self.third)
        calling = await self.begin('/book/1')
        self.other.process.paths.tunnels.close()
        seen = await calling
        self.assertEqual(seen.status, 502, seen)
        self.assertEqual(self.runs()[seen.attempt], 1)

    async def test_stream_goes_on_after_its_relay_is_lost(self):
        await self.cut(self.third)
        calling = await self.begin('/drafts/1')
        self.other.process.paths.tunnels.close()
        seen = await calling
        self.assertEqual(seen.status, 200, seen)
        self.assertEqual(seen.body, entries_fleet.STREAM)

    async def test_another_relay_is_used_when_one_is_killed(self):
        self.third.network.cut(cuttable_network.REFUSED)
        await self.cut()
        self.third.network.heal()
        await self.other.kill()
        await asyncio.sleep(0.1)
        await self.check_served(self.cut_off, PATHS)

    # Guards against streams that are cut off at the stop of a relay.
    async def test_stop_of_a_relay_lets_a_stream_end(self):
        await self.cut(self.third)
        calling = await self.begin('/once/1')
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        stopping = asyncio.create_task(self.other.stop())
        seen = await calling
        self.assertEqual(seen.status, 200, seen)
        self.assertEqual(seen.body, entries_fleet.STREAM)
        self.assertEqual(self.runs()[seen.attempt], 1)
        self.third.network.heal()
        await self.check_served(self.cut_off, ['/book/1', '/once/1'])
        await stopping
        self.assertLess(loop.time() - began_s, STOP_S)

    # Guards against a pause of a sound server that is taken for a cut.
    async def test_server_behind_a_relay_may_pause(self):
        await self.cut()

        async def pause(writer):
            await asyncio.sleep(SILENCE_S)

        def pause_first(call):
            if not entries_fleet.is_run(call):
                return entries_fleet.generate(call)
            if call.target == '/book/1':
                return [pause, *entries_fleet.book(call)]
            head, first, *rest = entries_fleet.generate(call)
            return [head, first, pause, *rest]

        self.set_reply(pause_first)
        await self.check_served(self.cut_off, ['/book/1', '/once/1'])

    # Guards against tunnels that lead through two VMs.
    async def test_relay_that_is_cut_off_does_not_ask_another_one(self):
        self.other.network.cut(cuttable_network.REFUSED)
        self.third.network.cut(cuttable_network.REFUSED)
        self.cut_off.network.cut(cuttable_network.REFUSED)
        runs = self.runs()
        for path in PATHS:
            seen = await self.cut_off.call(path)
            self.assertEqual(seen.status, 503, (path, seen))
        self.assertEqual(self.runs(), runs)
        for entry in self.fleet.entries:
            tunnels = entry.process.metrics.tunnels.values.store
            self.assertEqual(tunnels, {})

    # Guards against work that goes on when the VM that asked for it is gone.
    async def test_end_of_the_entry_ends_the_work_of_its_server(self):
        await self.cut()
        ended = asyncio.Event()

        def work(call):
            runner = self.runners_by_id[call.headers['Expect-Instance']]

            async def until_closed(writer):
                try:
                    await runner.until_closed(writer)
                finally:
                    ended.set()

            return [until_closed]

        self.set_reply(work)
        calling = asyncio.create_task(self.cut_off.call('/book/1'))
        await self.fleet.wait_until(
            lambda: (
                self.other.process.paths.tunnels.number
                or self.third.process.paths.tunnels.number
            )
        )
        await asyncio.sleep(0.1)
        await self.cut_off.kill()
        async with asyncio.timeout(TIMEOUT_S):
            await ended.wait()
        calling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await calling
