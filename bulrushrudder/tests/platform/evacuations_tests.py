"""Evacuation of zones by the platform's operator."""

import asyncio
import types
import unittest

from aiohttp import test_utils
import yarl

from bulrushrudder.control import zone_orders
from bulrushrudder.metrics import control as metrics_control
from bulrushrudder.platform import control_api
from bulrushrudder.platform import evacuations
from bulrushrudder.state import machine
from bulrushrudder.state import results
from bulrushrudder.tests.builders import entries_fleet
from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import runners

PATH = '/bulrushrudder/evacuations/'
TIMEOUT_S = 20.0


class FakeNode:
    """A node that commits commands at once while it has a quorum."""

    def __init__(self):
        self.state = machine.State()
        self.has_quorum = True

    async def propose(self, command, timeout_s):
        assert timeout_s == zone_orders.ORDER_TIMEOUT_S
        if not self.has_quorum:
            return results.Unavailable('no leader')
        return self.state.apply(self.state.index + 1, command)


class InterfaceTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.node = FakeNode()
        control = types.SimpleNamespace(node=self.node)
        api = control_api.ControlApi(control, metrics_control.ControlMetrics())
        self.client = await self.enterAsyncContext(
            test_utils.TestClient(test_utils.TestServer(api.application()))
        )

    async def order(self, method, zone, data=None):
        """Send an order; return the status of the response."""
        url = self.client.make_url('/').join(_encoded(PATH + zone))
        async with self.client.session.request(
            method, url, data=data
        ) as response:
            await response.read()
            return response.status

    async def test_repeated_orders_are_acknowledged(self):
        for method, zones in (('POST', {'z-1'}), ('DELETE', set())):
            for _ in range(3):
                self.assertEqual(await self.order(method, 'z-1'), 200)
                self.assertEqual(self.node.state.evacuations.zones, zones)

    async def test_order_for_zone_that_was_never_evacuated_is_acknowledged(
        self,
    ):
        self.assertEqual(await self.order('DELETE', 'z-9'), 200)

    async def test_order_without_quorum_is_not_acknowledged(self):
        self.node.has_quorum = False
        for method in ('POST', 'DELETE'):
            self.assertEqual(await self.order(method, 'z-1'), 503)

    async def test_names_that_no_zone_can_have_are_rejected(self):
        for name in ('', 'x' * 64):
            for method in ('POST', 'DELETE'):
                with self.subTest(f'{method} {name}'):
                    self.assertEqual(await self.order(method, name), 400)
        self.assertEqual(await self.order('POST', 'x' * 63), 200)
        self.assertEqual(await self.order('POST', 'a%2Fb%20c'), 200)
        self.assertIn('a/b c', self.node.state.evacuations.zones)

    async def test_path_without_name_is_rejected(self):
        async with self.client.post(PATH.rstrip('/')) as response:
            self.assertEqual(response.status, 400)

    async def test_bodies_of_any_size_are_ignored(self):
        # A rejection of the body would end the operator's call.
        for size in (2, evacuations.MAX_BODY_BYTES * 3, 9 * 1024 * 1024):
            with self.subTest(size):
                self.assertEqual(
                    await self.order('POST', 'z', b'x' * size), 200
                )

    async def test_body_that_does_not_end_is_ignored(self):
        async def pieces():
            yield b'x'
            await asyncio.sleep(TIMEOUT_S)

        async with asyncio.timeout(TIMEOUT_S / 2):
            self.assertEqual(await self.order('POST', 'z', pieces()), 200)


class FleetTests(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that reach servers of an evacuated zone."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        await self.fleet.put_configuration(entries_fleet.configuration())
        view = self.fleet.entry.view
        await self.fleet.wait_until(lambda: view.lookups.document.version)
        self.zones = lambda: view.state.evacuations.zones

    async def add(self, server_id, zone, reply=entries_fleet.generate, **kind):
        return await self.fleet.add_lasting_runner(
            reply, server_id, zone=zone, **kind
        )

    async def add_portal(self, zone):
        return await self.add(
            f'i-portal-{zone}',
            zone,
            entries_fleet.book,
            service='portal',
            stage=None,
            slots=6,
        )

    async def evacuate(self, zone):
        self.assertEqual(await self.fleet.order_zone('POST', zone), 200)
        await self.fleet.wait_until(lambda: zone in self.zones())

    async def restore(self, zone):
        self.assertEqual(await self.fleet.order_zone('DELETE', zone), 200)
        await self.fleet.wait_until(lambda: zone not in self.zones())

    async def call(self, path):
        """Call a path; return the status and Retry-After."""
        async with asyncio.timeout(TIMEOUT_S):
            async with self.fleet.call(path) as response:
                await response.read()
                return response.status, response.headers.get('Retry-After')

    async def test_all_kinds_of_calls_leave_evacuated_zone(self):
        by_zone = {}
        for zone in ('a', 'b'):
            by_zone[zone] = [
                await self.add(f'i-p-{zone}', zone, stage='prefill'),
                await self.add(f'i-d-{zone}', zone),
                await self.add_portal(zone),
            ]
        await self.evacuate('a')
        for path in ('/drafts/1', '/once/1', '/find/1', '/book/1') * 3:
            self.assertEqual((await self.call(path))[0], 200)
        self.assertEqual([r.calls for r in by_zone['a']], [[], [], []])
        await self.evacuate('b')
        for path in ('/drafts/1', '/find/1'):
            status, retry_after = await self.call(path)
            self.assertEqual(status, 503)
            self.assertIsNotNone(retry_after)
        await self.restore('a')
        for path in ('/drafts/1', '/find/1'):
            self.assertEqual((await self.call(path))[0], 200)

    async def test_granted_decode_leaves_zone_that_is_evacuated_meanwhile(
        self,
    ):
        prefilling = asyncio.Event()
        evacuated = asyncio.Event()

        async def wait(writer):
            prefilling.set()
            await evacuated.wait()

        def prefill(call):
            return [wait, *entries_fleet.generate(call)]

        source = await self.add('i-p', 'a', prefill, stage='prefill')
        left = await self.add('i-d', 'a')
        calling = asyncio.create_task(self.call('/once/1'))
        await prefilling.wait()
        taken = await self.add('i-e', 'b')
        await self.evacuate('a')
        evacuated.set()
        self.assertEqual((await calling)[0], 200)
        self.assertEqual(left.calls, [])
        (decode,) = taken.calls
        # The result of the prefill is fetched from the evacuated zone.
        location = f'127.0.0.1:{source.port}/{runners.HANDLE}'
        self.assertEqual(decode.headers['Kv-Source'], location)

    async def test_plain_call_leaves_zone_evacuated_while_it_connects(self):
        # It has not been sent, so no retry budget is needed.
        left, taken = await self.add_portal('a'), await self.add_portal('b')
        network = self.fleet.entry.paths.network
        direct_open = network.open
        retries = self.fleet.entry.services.retries

        async def open_slowly(server, protocol_factory):
            if 'a' not in self.zones():
                await self.evacuate('a')
                while retries.take_retry(asyncio.get_running_loop().time()):
                    pass
            return await direct_open(server, protocol_factory)

        network.open = open_slowly
        self.assertEqual((await self.call('/book/1'))[0], 200)
        self.assertEqual((len(left.calls), len(taken.calls)), (0, 1))

    async def test_stream_that_runs_in_evacuated_zone_finishes(self):
        running = asyncio.Event()
        evacuated = asyncio.Event()

        async def wait(writer):
            running.set()
            await evacuated.wait()

        def decode(call):
            head, *rest = entries_fleet.generate(call)
            return [head, *rest[:2], wait, *rest[2:]]

        await self.add('i-p', 'b', stage='prefill')
        runner = await self.add('i-d', 'a', decode)
        calling = asyncio.create_task(self.call('/once/1'))
        await running.wait()
        await self.evacuate('a')
        evacuated.set()
        self.assertEqual((await calling)[0], 200)
        self.assertEqual(len(runner.calls), 1)


def _encoded(path):
    return yarl.URL(path, encoded=True)
