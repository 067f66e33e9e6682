"""Searches for a VM that connects to a server, on loopback."""

import asyncio
import contextlib
import dataclasses
import time
import unittest

import logbook

from bulrushrudder.entry import routed_network
from bulrushrudder.lifecycle import paths
from bulrushrudder.lifecycle import relays as lifecycle_relays
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import relays
from bulrushrudder.utils import ports

# A VM that is known to be of no use is waited for this long at most.
SOON_S = 0.9
AT_ONCE_S = 0.2
CALL_INTERVAL_S = 0.05
# Callers are served this long after a relay works again.
CONTACT_S = 3.0
FLEET = 11
MANY = 30
MAX_ASKED = 10


class SearchTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.enterContext(logbook.TestHandler().applicationbound())
        self.stack = await self.enterAsyncContext(contextlib.AsyncExitStack())

    async def listen(self):
        """Accept connections and never answer; return the port."""

        async def accept(reader, writer):
            self.stack.callback(writer.close)
            with contextlib.suppress(OSError):
                await reader.read()

        listener = await asyncio.start_server(accept, ports.LOOPBACK, 0)
        self.stack.callback(listener.close)
        return listener.sockets[0].getsockname()[1]

    async def running_server(self, server_id):
        return fleet.server(
            server_id, port=await self.listen(), kind='service'
        )

    def crashed_server(self, server_id):
        (port,) = ports.free_ports(1)
        return fleet.server(server_id, port=port, kind='service')

    async def start_vms(self, number, *servers):
        view = relays.view(*servers)
        return [
            await relays.Vm(f'vm-{index}', view, 'abc'[index % 3]).start(
                self.stack
            )
            for index in range(number)
        ]

    async def open(self, vm, server):
        """Return the connection or the error, and how long it took."""
        began_s = time.monotonic()
        try:
            opened = await vm.network.open(server, relays.Recorder)
        except (OSError, TimeoutError) as error:
            opened = error
        return opened, time.monotonic() - began_s


class FrozenVmTests(SearchTestCase):
    # Guards against crashes that are held up and not told as such while
    # one VM is frozen.
    async def test_crash_is_told_soon_beside_a_frozen_vm(self):
        crashed = self.crashed_server('s-0')
        first, *_ = await self.start_vms(
            4, crashed, await self.running_server('s-1')
        )
        frozen = relays.Vm('vm-9', first.view, 'b')
        frozen.address = dataclasses.replace(
            frozen.address, port=await self.listen()
        )
        frozen.open_session()
        for _ in range(4):
            opened, took_s = await self.open(first, crashed)
            self.assertIsInstance(opened, ConnectionRefusedError)
            self.assertLess(took_s, SOON_S)
            await asyncio.sleep(paths.DOWN_MEMORY_S + 0.1)


class SharedSearchTests(SearchTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = await self.running_server('s-0')
        self.vms = await self.start_vms(
            FLEET, self.server, await self.running_server('s-1')
        )
        self.first = self.vms[0]
        self.first.cut.how = lambda server: ConnectionRefusedError()

    def relay_dials(self):
        return sum(len(vm.cut.dialled) for vm in self.vms[1:])

    # Guards against a search by each of many calls.
    async def test_calls_at_once_share_a_search(self):
        opened = await asyncio.gather(
            *(self.open(self.first, self.server) for _ in range(MANY))
        )
        connections = {connection for connection, _ in opened}
        self.assertEqual(len(connections), MANY)
        for connection in connections:
            self.assertIsInstance(connection, relays.Recorder)
            self.assertIsNotNone(connection.relay)
        self.assertLess(self.relay_dials(), MANY + MAX_ASKED)

    async def test_calls_that_wait_survive_one_that_gives_up(self):
        for vm in self.vms[1:]:
            vm.cut.how = lambda server: TimeoutError()
        calling = asyncio.create_task(self.open(self.first, self.server))
        waiting = asyncio.create_task(self.open(self.first, self.server))
        await asyncio.sleep(0.1)
        for vm in self.vms[1:]:
            vm.cut.how = lambda server: None
        calling.cancel()
        connection, _ = await waiting
        self.assertIsInstance(connection, relays.Recorder)

    # Guards against calls that are held, and against a storm of asks, when
    # no VM reaches a server.
    async def test_nobody_is_asked_again_while_no_relay_works(self):
        await self.open(self.first, self.server)
        await asyncio.sleep(AT_ONCE_S)
        before = self.relay_dials()
        for vm in self.vms:
            vm.cut.how = lambda server: TimeoutError()
        await asyncio.gather(
            *(self.open(self.first, self.server) for _ in range(MANY))
        )
        dials = self.relay_dials()
        self.assertLessEqual(dials - before, 2 * MAX_ASKED)
        for _ in range(MANY):
            error, took_s = await self.open(self.first, self.server)
            self.assertIsInstance(error, routed_network.PathLostError)
            self.assertLess(took_s, AT_ONCE_S)
        self.assertEqual(self.relay_dials(), dials)

    # Guards against calls that are held by each search that fails again.
    async def test_calls_do_not_wait_for_the_searches_that_follow(self):
        await self.open(self.first, self.server)
        for vm in self.vms:
            vm.cut.how = lambda server: TimeoutError()
        await self.open(self.first, self.server)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 4 * paths.DOWN_MEMORY_S
        while loop.time() < end_s:
            error, took_s = await self.open(self.first, self.server)
            self.assertIsInstance(error, routed_network.PathLostError)
            self.assertLess(took_s, AT_ONCE_S)
            await asyncio.sleep(CALL_INTERVAL_S)
        for vm in self.vms[1:]:
            vm.cut.how = lambda server: None
        while isinstance(error, routed_network.PathLostError):
            self.assertLess(loop.time(), end_s + CONTACT_S)
            error, _ = await self.open(self.first, self.server)
            await asyncio.sleep(CALL_INTERVAL_S)
        self.assertIsInstance(error, relays.Recorder)


class ReuseTests(SearchTestCase):
    # Guards against calls that keep to relays since no new connection is
    # opened.
    async def test_path_is_probed_while_its_tunnels_are_used_again(self):
        server = await self.running_server('s-0')
        first, _ = await self.start_vms(2, server)
        first.cut.how = lambda server: ConnectionRefusedError()
        connection, _ = await self.open(first, server)
        for _ in range(round((paths.IN_USE_S + 1.0) / CALL_INTERVAL_S)):
            self.assertTrue(first.network.may_reuse(server, connection))
            await asyncio.sleep(CALL_INTERVAL_S)
        first.cut.how = lambda server: None
        async with asyncio.timeout(CONTACT_S):
            while first.network.may_reuse(server, connection):
                await asyncio.sleep(CALL_INTERVAL_S)
        self.assertFalse(first.network.is_lost(server))


class DownTests(SearchTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = await self.running_server('s-0')
        self.vms = await self.start_vms(
            8, self.server, await self.running_server('s-1')
        )
        self.first = self.vms[0]
        self.cut_from_server(self.first)

    def cut_from_server(self, vm):
        vm.cut.how = lambda server: (
            ConnectionRefusedError() if server.id == self.server.id else None
        )

    def asked_first(self):
        """Return the VMs that the first VM asks at first."""
        sessions = self.first.view.state.sessions.by_vm
        search = lifecycle_relays.Relays(self.first.owner, self.first.zone)
        batches = search.batches(
            search.candidates(sessions.values()),
            paths.ServerKey(self.server.id, self.server.incarnation),
            0.0,
        )
        return [vm for vm in self.vms if vm.owner in batches[0]]

    # Guards against one VM without a path to a server, whose word alone
    # makes the server crashed.
    async def test_one_vm_does_not_end_the_search(self):
        one, *others = self.asked_first()
        self.cut_from_server(one)
        for vm in others:
            vm.cut.how = lambda server: ConnectionRefusedError()
        connection, _ = await self.open(self.first, self.server)
        self.assertIsInstance(connection, relays.Recorder)

    async def test_tunnel_counts_more_than_two_that_say_down(self):
        *two, _ = self.asked_first()
        for vm in two:
            self.cut_from_server(vm)
        connection, _ = await self.open(self.first, self.server)
        self.assertIsInstance(connection, relays.Recorder)

    # Guards against a wrong verdict that repeats itself.
    async def test_others_are_asked_after_those_who_say_down(self):
        for vm in self.asked_first():
            self.cut_from_server(vm)
        await self.open(self.first, self.server)
        await asyncio.sleep(paths.DOWN_MEMORY_S + 0.1)
        connection, _ = await self.open(self.first, self.server)
        self.assertIsInstance(connection, relays.Recorder)

    # Guards against a verdict that a VM was told and passes on as seen.
    async def test_vm_that_was_told_so_dials_the_server_itself(self):
        key = paths.ServerKey(self.server.id, self.server.incarnation)
        for vm in self.vms[1:]:
            vm.network.paths.handle(
                paths.FoundDown(key, True), asyncio.get_running_loop().time()
            )
        connection, _ = await self.open(self.first, self.server)
        self.assertIsInstance(connection, relays.Recorder)

    # Guards against a crash that costs the other VMs more.
    async def test_crash_costs_three_asks_a_second(self):
        for vm in self.vms[1:]:
            self.cut_from_server(vm)
        for _ in range(MANY):
            error, _ = await self.open(self.first, self.server)
            self.assertIsInstance(error, ConnectionRefusedError)
        asked = [vm for vm in self.vms[1:] if vm.cut.dialled]
        self.assertEqual(len(asked), 3)
        for vm in asked:
            self.assertLessEqual(len(vm.cut.dialled), 2)
