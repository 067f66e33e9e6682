"""One control and one entry process with the platform's interfaces."""

import asyncio
import contextlib
import pathlib
import tempfile

import aiohttp
import yarl

from bulrushrudder.config import settings
from bulrushrudder.control import process as control_process
from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.entry import process as entry_process
from bulrushrudder.platform import control_api
from bulrushrudder.platform import entry_api
from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import settings as builders
from bulrushrudder.utils import tasks

START_TIMEOUT_S = 20.0
HEARTBEAT_INTERVAL_S = 0.5
PREFIX = '/bulrushrudder'


class PlatformFleet:
    """A control process, an entry process and an HTTP session to call them.

    :param stack: an AsyncExitStack that owns them.
    :param network: opens the connections of the entry process to runners;
        None for direct ones.
    :param entry_changes: fields of the EntrySettings that differ.
    """

    def __init__(self, stack, network=None, **entry_changes):
        self._stack = stack
        self._network = network
        self._entry_changes = entry_changes
        self.entry = None
        self._entry_stack = None
        self._settings = None
        self.session = None
        self._sequence = 0

    async def start(self):
        """Start both processes and wait for a leader."""
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        fleet_settings = _settings(pathlib.Path(folder), self._entry_changes)
        self._control_url = f'http://{fleet_settings.control.operators}'
        self._callers_url = f'http://{fleet_settings.entry.callers}'
        self._ready_url = f'http://{fleet_settings.entry.ready}'
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        self.control = await control_process.start(
            self._stack, fleet_settings, interface=control_api.Interface()
        )
        self._settings = fleet_settings
        await self._start_entry()
        await self.wait_until(lambda: self.control.node.is_ready_leader)
        await self.wait_until(lambda: self.entry.view.state.sessions.by_vm)
        return self

    @property
    def settings(self):
        """Return the Settings of the control and the entry process."""
        return self._settings

    async def _start_entry(self):
        self._entry_stack = await self._stack.enter_async_context(
            contextlib.AsyncExitStack()
        )
        self.entry = entry_process.EntryProcess(
            self._settings, entry_api.Interface(), self._network
        )
        await self.entry.start(self._entry_stack)

    async def restart_entry(self):
        """End the entry process without a stop, and start it again."""
        await self._entry_stack.aclose()
        await self._start_entry()
        await self.wait_until(lambda: self.entry.view.lookups.document.version)

    async def stop_entry(self):
        """Stop the entry process as after SIGTERM; return the seconds."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await self.entry.leave()
        await self.entry.stop()
        await self._entry_stack.aclose()
        return loop.time() - began_s

    async def connect(self):
        """Return the reader and writer of a new connection of a client."""
        address = self._settings.entry.callers
        return await asyncio.open_connection(address.host, address.port)

    async def wait_until(self, condition):
        """Wait until a condition is true."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def put_configuration(self, configuration):
        """Send a configuration as the operator does.

        :returns: the status of the answer.
        """
        async with self.session.put(
            f'{self._control_url}{PREFIX}/config',
            data=platform.encoded(configuration),
        ) as response:
            return response.status

    async def get_configuration(self):
        """Return the status and body of the configuration in force."""
        async with self.session.get(
            f'{self._control_url}{PREFIX}/config'
        ) as response:
            return response.status, await response.read()

    async def order_zone(self, method, zone):
        """Evacuate (POST) or restore (DELETE) a zone; return the status."""
        async with self.session.request(
            method, f'{self._control_url}{PREFIX}/evacuations/{zone}'
        ) as response:
            return response.status

    async def send_heartbeat(self, runner, server_id, **changes):
        """Send a heartbeat of a runner; return the status."""
        self._sequence += 1
        body = platform.heartbeat(
            **{
                'address': f'127.0.0.1:{runner.port}',
                'sequence': self._sequence,
                **changes,
            }
        )
        async with self.session.put(
            f'{self._control_url}{PREFIX}/instances/{server_id}', data=body
        ) as response:
            return response.status

    async def send_departure(self, server_id, born=None):
        """Report that a runner is gone; return the status.

        :param born: the start of the runner; None if it does not state it.
        """
        body = b'' if born is None else platform.encoded({'born': born})
        async with self.session.delete(
            f'{self._control_url}{PREFIX}/instances/{server_id}', data=body
        ) as response:
            return response.status

    async def add_runner(self, reply, server_id, **changes):
        """Start a runner and wait until the entry process knows it."""
        runner = await runners.Runner(reply).start(self._stack)
        status = await self.send_heartbeat(runner, server_id, **changes)
        assert status == 200, status
        table = self.entry.view.state.servers
        await self.wait_until(lambda: server_id in table.by_id)
        return runner

    async def add_lasting_runner(self, reply, server_id, **changes):
        """Start a runner that goes on sending heartbeats.

        Without them, it counts as silent after the lease of a server.
        """
        runner = await self.add_runner(reply, server_id, **changes)
        tasks.spawn(self._stack, self._renew(runner, server_id, changes))
        return runner

    async def _renew(self, runner, server_id, changes):
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await self.send_heartbeat(runner, server_id, **changes)

    async def ready(self):
        """Return the status of the readiness check."""
        async with self.session.get(
            f'{self._ready_url}{PREFIX}/readyz'
        ) as response:
            return response.status

    def call(
        self,
        path,
        method='POST',
        body=b'x',
        headers=(),
        address=None,
        **options,
    ):
        """Send a call as a client does.

        :param address: the Address of another entry process.
        :returns: the context manager of its response.
        """
        pairs = {**dict(platform.CLIENT_HEADERS), **dict(headers)}
        url = f'http://{address}' if address else self._callers_url
        return self.session.request(
            method,
            yarl.URL(f'{url}{path}', encoded=True),
            data=body,
            headers=pairs,
            **options,
        )

    async def seconds_until_close(self, path):
        """Return how long the entry process keeps a silent connection.

        :param path: path of a call before the silence; None for none.
        """
        host, _, port = self._callers_url.removeprefix('http://').partition(
            ':'
        )
        reader, writer = await asyncio.open_connection(host, int(port))
        loop = asyncio.get_running_loop()
        if path is not None:
            pairs = ''.join(
                f'{n}: {v}\r\n' for n, v in platform.CLIENT_HEADERS
            )
            head = f'POST {path} HTTP/1.1\r\n{pairs}Content-Length: 0\r\n\r\n'
            writer.write(head.encode())
            await reader.readuntil(b'\r\n\r\n')
        began_s = loop.time()
        async with asyncio.timeout(START_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                await reader.read()
        writer.close()
        return loop.time() - began_s


@contextlib.asynccontextmanager
async def running(**entry_changes):
    """Start a PlatformFleet; stop it on exit."""
    async with contextlib.AsyncExitStack() as stack:
        yield await PlatformFleet(stack, **entry_changes).start()


def _settings(folder, entry_changes):
    callers, ready, shown, inner, operators, other, control = (
        builders.addresses(7)
    )
    return settings.Settings(
        vm=ids.VmId('edge-1'),
        zone=ids.Zone('a'),
        environment=types.Environment.PRODUCTION,
        entry=settings.EntrySettings(
            callers,
            None,
            shown,
            inner,
            ready=ready,
            stale_s=3600.0,
            **entry_changes,
        ),
        control=settings.ControlSettings(
            operators, other, control, folder, knows_cold=True
        ),
        controls=(control,),
        secrets=settings.Secrets(b'', b'', b''),
        seeded=True,
        bounds=settings.FleetBounds(
            0.2, 58.0, 10.0, 140000.0, 8.0, cold_overrun=1.5, cold_tolerance=5
        ),
        interface='platform',
    )
