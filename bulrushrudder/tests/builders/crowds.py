"""Clients on raw sockets that keep to no limit, and what they meet."""

import asyncio
import contextlib
import io
import json
import pathlib
import random
import resource
import socket
import tempfile

from bulrushrudder.tests.soak import clients
from bulrushrudder.tests.soak import http
from bulrushrudder.tests.soak import operators
from bulrushrudder.tests.soak import programs
from bulrushrudder.tests.soak import record
from bulrushrudder.tests.soak import servers
from bulrushrudder.tests.soak import works

READY_TIMEOUT_S = 30.0
# Longer than a call is tried on a busy machine; no test checks a time.
ORDINARY_TIMEOUT_S = 20.0
ANSWER_BYTES = 400_000
# The smallest VM of the platform.
MEMORY_MB = 88
MAX_FDS = 256
# A client that reads nothing lets the kernel hold this much of an answer.
RECEIVE_BUFFER_BYTES = 4096
PIECE_BYTES = 64 * 1024


def head(path, length, attempt, key=clients.KEY, method='POST'):
    """Return the head of a call."""
    return http.head(
        f'{method} {path} HTTP/1.1',
        [
            ('Host', clients.HOST),
            ('Attempt-Id', attempt),
            ('Deadline-Ms', '10000'),
            ('Authorization', f'Bearer {key}'),
            ('Content-Length', length),
        ],
    )


def calls(path, count, size=3, **changes):
    """Yield the bytes of calls with different attempt ids."""
    body = b'a' * size
    for _ in range(count):
        attempt = f'{random.getrandbits(64):016x}'
        yield head(path, size, attempt, **changes) + body


class Crowd:
    """Connections that send as fast as they may and read nothing.

    :param address: host and port.
    """

    def __init__(self, address):
        self._address = address
        self._tasks = []

    def join(self, count, make_pieces, pause_s=0.0):
        """Open connections.

        :param make_pieces: function that returns what one of them sends.
        :param pause_s: seconds between two pieces.
        """
        self._tasks += [
            asyncio.create_task(self._send(make_pieces(), pause_s))
            for _ in range(count)
        ]

    async def leave(self):
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send(self, pieces, pause_s):
        loop = asyncio.get_running_loop()
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            sock.setblocking(False)
            await loop.sock_connect(sock, self._address)
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(pause_s)
            await asyncio.Event().wait()


class Watch:
    """Records the most descriptors that a process had.

    :param pid: its id.
    """

    def __init__(self, pid):
        self._folder = pathlib.Path(f'/proc/{pid}')
        self.most_fds = 0

    @property
    def peak_mb(self):
        """Return the most resident memory that the process had."""
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith('VmHWM'):
                return int(line.split()[1]) / 1024
        raise AssertionError('no VmHWM')

    async def look(self, for_s):
        """Count descriptors for some seconds."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        while loop.time() < until_s:
            count = len(list((self._folder / 'fd').iterdir()))
            self.most_fds = max(self.most_fds, count)
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def system(max_fds=None, memory_mb=MEMORY_MB):
    """Start a control process, an entry and a server with large answers.

    :param max_fds: descriptors that both may have.
    :returns: the Fleet.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        rng = random.Random()
        fleet = programs.Fleet(
            pathlib.Path(folder),
            record.Record(io.StringIO()),
            rng,
            controls=1,
            edges=1,
        )
        stack.callback(fleet.end)
        fleet.limits = {
            'memory_mb': memory_mb,
            'max_fds': max_fds or '',
        }
        for machine in fleet.machines:
            machine.start(machine in fleet.controls)
            if max_fds:
                resource.prlimit(
                    machine.pid, resource.RLIMIT_NOFILE, (max_fds, max_fds)
                )
        operator = operators.Operator(fleet, rng, (20_000, 5_000))
        if not await operator.send_first():
            raise AssertionError('the system did not start')
        work = works.Work(takes_s=0.0, filler=ANSWER_BYTES)
        server = servers.Server(
            fleet, rng, 'plain', 'plain', slots=400, draw=lambda _: work
        )
        await server.start()
        stack.callback(server.crash)
        await _wait_until_ready(fleet)
        yield fleet


async def _wait_until_ready(fleet):
    async with asyncio.timeout(READY_TIMEOUT_S):
        while (await ordinary(fleet.edges[0])).status != 200:
            await asyncio.sleep(0.1)


async def ordinary(machine, path='/look/1', attempt=None):
    """Make one call through a connection of its own.

    :returns: the Answer.
    """
    attempt = attempt or f'{random.getrandbits(64):016x}'
    answer = http.Answer()
    writer = None
    try:
        async with asyncio.timeout(ORDINARY_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                *machine.address('frontend')
            )
            writer.write(head(path, 3, attempt) + b'abc')
            await http.read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def configuration(machine):
    """Read the configuration of a control process."""
    answer = await http.call(
        machine.address('control_plane'),
        'GET',
        operators.PATH,
        timeout_s=ORDINARY_TIMEOUT_S,
    )
    return answer.status, json.loads(answer.body or b'{}')
