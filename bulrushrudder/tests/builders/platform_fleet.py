"""One control and one entry process that speak the platform's protocol."""

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
from bulrushrudder.platform import control_door
from bulrushrudder.platform import entry_door
from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import settings as builders

START_S = 20.0
PREFIX = '/bulrushrudder'


class PlatformFleet:
    """A control process, an entry process, and what calls them.

    :param stack: an AsyncExitStack that owns all of it.
    """

    def __init__(self, stack):
        self._stack = stack
        self.entry = None
        self.session = None
        self._sequence = 0

    async def start(self):
        """Start both processes and wait for a leader."""
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        found = _settings(pathlib.Path(folder))
        self._control_url = f'http://{found.control.operators}'
        self._callers_url = f'http://{found.entry.callers}'
        self._ready_url = f'http://{found.entry.ready}'
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        self.control = await control_process.start(
            self._stack, found, interface=control_door.Interface()
        )
        self.entry = entry_process.Entry(found, entry_door.Interface())
        await self.entry.start(self._stack)
        await self.until(lambda: self.control.node.is_ready_leader)
        await self.until(lambda: self.entry.view.state.sessions.by_vm)
        return self

    async def until(self, holds):
        """Wait until a condition holds."""
        async with asyncio.timeout(START_S):
            while not holds():
                await asyncio.sleep(0.02)

    async def configure(self, configuration):
        """Send a configuration as the operator does.

        :returns: the status of the answer.
        """
        async with self.session.put(
            f'{self._control_url}{PREFIX}/config',
            data=platform.encoded(configuration),
        ) as response:
            return response.status

    async def configuration(self):
        """Read the configuration back; returns its status and bytes."""
        async with self.session.get(
            f'{self._control_url}{PREFIX}/config'
        ) as response:
            return response.status, await response.read()

    async def beat(self, runner, server_id, **changes):
        """Send a heartbeat of a runner; returns the status."""
        self._sequence += 1
        body = platform.beat(
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

    async def add(self, reply, server_id, **changes):
        """Start a runner, and wait until the entry knows it."""
        runner = await runners.Runner(reply).start(self._stack)
        status = await self.beat(runner, server_id, **changes)
        assert status == 200, status
        table = self.entry.view.state.servers
        await self.until(lambda: server_id in table.by_id)
        return runner

    async def ready(self):
        """Return the status that the balancer sees."""
        async with self.session.get(
            f'{self._ready_url}{PREFIX}/readyz'
        ) as response:
            return response.status

    def call(self, path, method='POST', body=b'x', headers=(), **terms):
        """Send a call as a client does.

        :returns: the context manager of its response.
        """
        pairs = {**dict(platform.CLIENT_HEADERS), **dict(headers)}
        return self.session.request(
            method,
            yarl.URL(f'{self._callers_url}{path}', encoded=True),
            data=body,
            headers=pairs,
            **terms,
        )


@contextlib.asynccontextmanager
async def running():
    """Run a PlatformFleet."""
    async with contextlib.AsyncExitStack() as stack:
        yield await PlatformFleet(stack).start()


def _settings(folder):
    callers, ready, shown, inner, operators, other, control = (
        builders.addresses(7)
    )
    return settings.Settings(
        vm=ids.VmId('edge-1'),
        zone=ids.Zone('a'),
        environment=types.Environment.PRODUCTION,
        entry=settings.EntrySettings(
            callers, None, shown, inner, ready=ready, stale_s=3600.0
        ),
        control=settings.ControlSettings(operators, other, control, folder),
        controls=(control,),
        secrets=settings.Secrets(b'', b'', b''),
        seeded=True,
        bounds=settings.FleetBounds(0.2, 58.0, 10.0, 140000.0, 8.0),
        interface='platform',
    )
