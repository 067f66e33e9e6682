"""Runners that leave while they are absent from the table of servers."""

import asyncio
import unittest

from bulrushrudder.backpressure import statements
from bulrushrudder.membership import tracker
from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import runners

BORN = platform.HEARTBEAT['born']


PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'


class LongPrefillTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a decode that is sent to a server that has left."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        await self.fleet.put_configuration(platform.CONFIGURATION)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )

    async def test_decode_goes_to_another_server_after_departure(self):
        prefilling = asyncio.Event()
        left = asyncio.Event()

        async def wait(writer):
            prefilling.set()
            await left.wait()

        def prefill(call):
            if call.method == 'DELETE':
                return [runners.answer(attempt='')]
            return [wait, runners.answer(PREFILL_REPLY)]

        def decode(call):
            return [runners.stream(1, 3)]

        await self.fleet.add_runner(prefill, 'i-p', stage='prefill')
        leaving = await self.fleet.add_runner(decode, 'i-d')
        call = asyncio.create_task(self.call())
        await prefilling.wait()
        staying = await self.fleet.add_runner(decode, 'i-e')
        await self.fleet.send_departure('i-d', BORN)
        view = self.fleet.entry.view.state.servers
        await self.fleet.wait_until(lambda: 'i-d' not in view.by_id)
        left.set()
        status, body = await call
        self.assertEqual((status, body.count(b'data:')), (200, 3))
        self.assertEqual(leaving.calls, [])
        self.assertEqual(len(staying.calls), 1)

    async def call(self):
        async with self.fleet.call('/drafts/1') as response:
            return response.status, await response.read()


class DepartureTests(unittest.IsolatedAsyncioTestCase):
    """Guards against work for a runner that was acknowledged as gone."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        await self.fleet.put_configuration(platform.CONFIGURATION)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )
        self.runner = await self.fleet.add_runner(
            lambda call: [runners.answer()], 'i-1'
        )

    @property
    def table(self):
        return self.fleet.control.node.state.servers

    async def lose(self):
        """Let the lease of the runner run out."""
        await self.fleet.wait_until(lambda: 'i-1' not in self.table.by_id)

    async def beat(self, **changes):
        return await self.fleet.send_heartbeat(self.runner, 'i-1', **changes)

    async def check_does_not_join(self, **changes):
        await self.beat(**changes)
        self.assertNotIn('i-1', self.table.by_id)

    async def test_lost_runner_that_left_does_not_join_again(self):
        await self.lose()
        self.assertEqual(await self.fleet.send_departure('i-1', BORN), 200)
        await self.check_does_not_join()

    async def test_lost_runner_leaves_without_stating_its_start(self):
        await self.lose()
        self.assertEqual(await self.fleet.send_departure('i-1'), 200)
        await self.check_does_not_join()

    async def test_runner_set_aside_for_an_order_leaves(self):
        server = self.table.by_id['i-1']
        now_s = asyncio.get_running_loop().time()
        await self.fleet.control.exclude(server, now_s + 60.0)
        self.assertEqual(await self.fleet.send_departure('i-1', BORN), 200)
        self.fleet.control.readmit(server)
        # A join is proposed once per lease.
        await asyncio.sleep(tracker.LEASE_S + 0.2)
        await self.check_does_not_join()

    async def test_departure_before_first_heartbeat_counts(self):
        self.assertEqual(await self.fleet.send_departure('i-2', BORN), 200)
        await self.fleet.send_heartbeat(self.runner, 'i-2')
        self.assertNotIn('i-2', self.table.by_id)

    async def test_runner_stays_gone_after_snapshot_and_new_leader(self):
        await self.lose()
        await self.fleet.send_departure('i-1', BORN)
        self.table.restore(self.table.snapshot())
        self.fleet.control._tracker = tracker.Tracker()
        await self.check_does_not_join()

    async def test_next_incarnation_joins_after_departure(self):
        await self.lose()
        await self.fleet.send_departure('i-1', BORN)
        self.assertEqual(await self.beat(born=BORN + 1), 200)
        self.assertIn('i-1', self.table.by_id)
        # A late departure of the earlier incarnation.
        self.assertEqual(await self.fleet.send_departure('i-1', BORN), 200)
        self.assertIn('i-1', self.table.by_id)

    async def test_server_that_states_it_leaves_while_lost_stays_gone(self):
        server = self.table.by_id['i-1']
        await self.lose()
        view = self.fleet.entry.view.state.servers
        await self.fleet.wait_until(lambda: 'i-1' not in view.by_id)
        sent_s = asyncio.get_running_loop().time()
        self.fleet.entry.services.backpressure.record(
            server, sent_s, (statements.Leaving(),)
        )
        await asyncio.sleep(0.5)
        await self.check_does_not_join()
