"""Searches for a VM that connects to a server, on loopback."""

import asyncio
import contextlib
import dataclasses
import time
import unittest

import logbook

from bulrushrudder.lifecycle import paths
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import relays
from bulrushrudder.utils import ports

# A VM that is known to be of no use is waited for this long at most.
SOON_S = 0.9


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
