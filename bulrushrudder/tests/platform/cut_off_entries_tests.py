"""Callers of VMs whose paths to the backend servers are cut."""

import asyncio
import dataclasses

from bulrushrudder.tests.builders import cut_off_case
from bulrushrudder.tests.builders import cuttable_network
from bulrushrudder.tests.builders import entries_fleet
from bulrushrudder.tests.builders import runners

CANCEL_S = 0.5
REFUSAL_S = 1.0
CUTS = cuttable_network.CUTS


class TwoEntriesTests(cut_off_case.CutOffTestCase):
    # Guards against 503 for callers whose VM has lost its paths to all
    # servers while other VMs reach them.
    async def check_cut(self, name):
        await self.cut(CUTS[name], self.cut_off)
        await self.check_served(self.cut_off, self.other)

    async def test_serves_when_connections_are_refused(self):
        await self.check_cut('refused')

    async def test_serves_when_connections_hang(self):
        await self.check_cut('hanging')

    async def test_serves_when_connections_are_reset(self):
        await self.check_cut('reset')

    async def test_serves_when_only_new_connections_are_refused(self):
        await self.check_cut('old alive')

    async def test_serves_when_answers_are_lost(self):
        await self.check_cut('answers lost')

    async def test_serves_when_requests_are_lost(self):
        await self.check_cut('requests lost')

    # Guards against calls that fail while one service cannot be reached.
    async def check_service_cut(self, name):
        servers = frozenset({'i-portal-a', 'i-portal-b'})
        await self.check_servers_cut(name, servers)

    async def test_serves_when_one_service_refuses(self):
        await self.check_service_cut('refused')

    async def test_serves_when_one_service_hangs(self):
        await self.check_service_cut('hanging')

    # Guards against calls that fail while one server cannot be reached.
    async def check_server_cut(self, name):
        servers = frozenset({'i-portal-a', 'i-decode-a', 'i-prefill'})
        await self.check_servers_cut(name, servers)

    async def test_serves_when_one_server_of_each_kind_refuses(self):
        await self.check_server_cut('refused')

    async def test_serves_when_one_server_of_each_kind_hangs(self):
        await self.check_server_cut('hanging')

    async def check_servers_cut(self, name, servers):
        cut = dataclasses.replace(CUTS[name], servers=servers)
        await self.cut(cut, self.cut_off)
        await self.check_served(self.cut_off)

    # Guards against calls that take the long way after the cut.
    async def test_calls_go_directly_again_after_the_cut(self):
        await self.cut(cuttable_network.REFUSED, self.cut_off)
        await self.check_served(self.cut_off)
        self.cut_off.network.heal()
        await self.cut_off.call_for(cut_off_case.CONTACT_S, '/find/1')
        await self.cut_off.call_for(cut_off_case.CONTACT_S, '/drafts/1')
        direct = self.cut_off.network.sent_bytes
        forwarded = self.other.network.sent_bytes
        connections = self.connections()
        for path in cut_off_case.PATHS:
            for _ in range(cut_off_case.CALLS):
                seen = await self.cut_off.call(path)
                self.assertEqual(seen.status, 200, (path, seen))
        self.assertGreater(self.cut_off.network.sent_bytes, direct)
        self.assertEqual(self.other.network.sent_bytes, forwarded)
        self.assertLessEqual(
            self.connections() - connections, cut_off_case.CALLS
        )

    def connections(self):
        """Return the number of connections to all runners so far."""
        return sum(r.connections for r in self.runners_by_id.values())

    # Guards against work that goes on when its caller has left.
    async def check_cancelled(self, path):
        await self.cut(cuttable_network.REFUSED, self.cut_off)
        began, ended = self.work_endlessly()
        attempt = self.fleet.next_attempt()
        calling = asyncio.create_task(self.read(path, attempt))
        async with asyncio.timeout(cut_off_case.CONTACT_S):
            await began.wait()
        calling.cancel()
        async with asyncio.timeout(CANCEL_S):
            await ended.wait()

    async def test_cancelled_call_ends_at_server(self):
        await self.check_cancelled('/find/1')

    async def test_cancelled_stream_ends_at_server(self):
        await self.check_cancelled('/drafts/1')

    async def read(self, path, attempt):
        async with self.cut_off.connect(path, attempt) as response:
            await response.read()

    def work_endlessly(self):
        """Make all runners work until their callers leave.

        :returns: Events: a call has arrived, and its caller has left.
        """
        began, ended = asyncio.Event(), asyncio.Event()

        def work(call):
            runner = self.runners_by_id[call.headers['Expect-Instance']]
            if not entries_fleet.is_run(call):
                return entries_fleet.generate(call)

            async def until_closed(writer):
                began.set()
                try:
                    await runner.until_closed(writer)
                finally:
                    ended.set()

            return [until_closed]

        for runner in self.runners_by_id.values():
            runner.set_reply(work)
        return began, ended


class CalmFleetTests(cut_off_case.CutOffTestCase):
    # Guards against a cost of cuts on days without one.
    async def test_calls_of_a_calm_fleet_go_directly(self):
        for path in cut_off_case.PATHS:
            for _ in range(cut_off_case.CALLS):
                seen = await self.cut_off.call(path)
                self.assertEqual(seen.status, 200, path)
        self.assertEqual(self.other.network.opened, 0)
        for server_id, runner in self.runners_by_id.items():
            self.assertLessEqual(runner.connections, 1, server_id)

    # Guards against a pause of a sound server that is taken for a cut.
    async def test_server_that_pauses_is_neither_cut_nor_called_again(self):
        async def pause(writer):
            await asyncio.sleep(1.2)

        def pause_first(call):
            if not entries_fleet.is_run(call):
                return entries_fleet.generate(call)
            if 'Last-Event-Id' not in call.headers and call.target in (
                '/drafts/1',
                '/once/1',
            ):
                head, first, *rest = entries_fleet.generate(call)
                return [head, first, pause, *rest]
            return [pause, *entries_fleet.book(call)]

        for runner in self.runners_by_id.values():
            runner.set_reply(pause_first)
        for path in ('/book/1', '/drafts/1', '/once/1'):
            seen = await self.cut_off.call(path)
            self.assertEqual(seen.status, 200, (path, seen))
            self.assertEqual(self.runs()[seen.attempt], 1, path)
        self.assertEqual(self.other.network.opened, 0)

    # Guards against a crashed server that is taken for one behind a cut.
    async def test_crash_of_a_server_is_reported(self):
        crashing = self.runners_by_id['i-decode-a']

        def crash(call):
            return [runners.stream_head(), crashing.crash]

        crashing.set_reply(crash)
        self.runners_by_id['i-decode-b'].set_reply(crash)
        await self.cut_off.call('/once/1')
        await self.fleet.wait_until(
            lambda: self.other.process.view.state.suspect_parts.by_part
        )


class ThreeEntriesTests(cut_off_case.CutOffTestCase):
    entries = 3

    # Guards against VMs without paths that send one another their calls.
    async def check_two_cut(self, name):
        first, second, _ = self.fleet.entries
        await self.cut(CUTS[name], first, second)
        await self.check_served(first, second)

    async def test_serves_when_two_of_three_are_refused(self):
        await self.check_two_cut('refused')

    async def test_serves_when_two_of_three_hang(self):
        await self.check_two_cut('hanging')

    # Guards against calls that are held when no VM reaches a server.
    async def check_all_cut(self, name):
        await self.cut(CUTS[name], *self.fleet.entries)
        runs = self.runs()
        for path in cut_off_case.PATHS:
            seen = await self.cut_off.call(path)
            self.assertEqual(seen.status, 503, (path, seen))
            self.assertLess(seen.took_s, REFUSAL_S, path)
        self.assertEqual(self.runs(), runs)

    async def test_refuses_at_once_when_all_are_refused(self):
        await self.check_all_cut('refused')

    async def test_refuses_at_once_when_all_hang(self):
        await self.check_all_cut('hanging')
