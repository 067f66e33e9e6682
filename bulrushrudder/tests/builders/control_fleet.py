"""Control processes with an interface for operators, on loopback sockets."""

import asyncio
import contextlib
import json
import pathlib
import tempfile

from bulrushrudder.config import settings
from bulrushrudder.control import process
from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.tests.builders import settings as builders
from bulrushrudder.utils import stop_signal
from bulrushrudder.utils import tasks

START_TIMEOUT_S = 20.0


class _CapturingInterface:
    """An interface that notes the ControlProcess it serves."""

    def __init__(self, interface):
        self._interface = interface
        self.control = None

    def application(self, control, settings, metrics):
        self.control = control
        return self._interface.application(control, settings, metrics)

    def order_client(self, stack):
        return self._interface.order_client(stack)


class Member:
    """One control process.

    :ivar stopping: the StopSignal, which stands for signals.
    :ivar exit_code: the exit code of a process that has ended itself.
    """

    def __init__(self, member_settings, interface):
        self.settings = member_settings
        self.stopping = stop_signal.StopSignal()
        self._interface = _CapturingInterface(interface)
        self.exit_code = None
        self.task = asyncio.create_task(self._run())

    async def _run(self):
        try:
            await process.run(self.settings, self.stopping, self._interface)
        except SystemExit as error:
            # Raised in a task, it would end the loop of the test.
            self.exit_code = error.code

    @property
    def control(self):
        """Return the ControlProcess; None before it has started."""
        return self._interface.control

    @property
    def node(self):
        """Return the Node."""
        return self.control.node

    async def stop(self):
        """Stop the process as after SIGTERM; return the seconds."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.stopping.request()
        await self.task
        return loop.time() - began_s

    async def connect(self):
        """Return the reader and writer of a connection of an operator."""
        address = self.settings.control.operators
        return await asyncio.open_connection(address.host, address.port)

    def delay_messages(self, delay_s):
        """Delay the consensus messages that the process receives."""
        loop = asyncio.get_running_loop()
        receive = self.node.receive
        self.node.receive = lambda message: loop.call_later(
            delay_s, receive, message
        )


class ControlFleet:
    """Control processes that share a log.

    :param stack: an AsyncExitStack that owns them.
    :param interface: their interface for operators and servers.
    """

    def __init__(self, stack, interface):
        self._stack = stack
        self._interface = interface
        self.members = []

    async def start(self, count):
        """Start the processes and wait until they follow a leader."""
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        for member_settings in _settings(pathlib.Path(folder), count):
            member = Member(member_settings, self._interface)
            self.members.append(member)
        self._stack.push_async_callback(self._stop)
        await self.wait_until_ready()
        return self

    async def wait_until_ready(self):
        """Wait until all processes follow one leader."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self._is_ready():
                await asyncio.sleep(0.02)

    def restart(self, member):
        """Start a process that has stopped again."""
        place = self.members.index(member)
        self.members[place] = Member(member.settings, self._interface)

    @property
    def leader(self):
        """Return the Member that leads; None if none does."""
        leaders = [
            member
            for member in self.members
            if not member.task.done()
            and member.control is not None
            and member.node.is_ready_leader
        ]
        return leaders[0] if leaders else None

    @property
    def followers(self):
        """Return the other Members."""
        return [member for member in self.members if member != self.leader]

    async def wait_for_leader(self):
        """Wait until a process leads; return its Member."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while self.leader is None:
                await asyncio.sleep(0.02)
        return self.leader

    async def _stop(self):
        ends = [tasks.cancel(member.task) for member in self.members]
        await asyncio.gather(*ends)

    def _is_ready(self):
        for member in self.members:
            if member.task.done():
                member.task.result()
        if any(member.control is None for member in self.members):
            return False
        return self.leader is not None and all(
            member.node.leader_address is not None
            and len(member.node.replica.members) == len(self.members)
            and all(m.voter for m in member.node.replica.members)
            for member in self.followers
        )


@contextlib.asynccontextmanager
async def running(interface, count=3):
    """Start a ControlFleet; end it on exit."""
    async with contextlib.AsyncExitStack() as stack:
        yield await ControlFleet(stack, interface).start(count)


def _settings(folder, count):
    addresses = builders.addresses(3 * count)
    inner = addresses[:count]
    for number, address in enumerate(inner, 1):
        operators, metrics = addresses[count + 2 * number - 2 :][:2]
        data_folder = folder / str(number)
        data_folder.mkdir()
        yield settings.Settings(
            vm=ids.VmId(f'core-{number}'),
            zone=ids.Zone('a'),
            environment=types.Environment.PRODUCTION,
            entry=None,
            control=settings.ControlSettings(
                operators, metrics, address, data_folder
            ),
            controls=tuple(inner),
            secrets=settings.Secrets(b'', b'', b''),
            may_found=True,
            interface='platform',
        )


def request(method, path, body=b''):
    """Return the bytes of a request."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: control\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def read_answer(reader):
    """Return the status, headers and JSON content of a whole answer."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    start, *lines = head.split('\r\n')[:-2]
    headers = dict(line.split(': ', 1) for line in lines)
    body = await reader.readexactly(int(headers['Content-Length']))
    return int(start.split()[1]), headers, json.loads(body)
