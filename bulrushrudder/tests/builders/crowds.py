"""Clients on raw sockets that keep to no limit, and what they meet."""

import asyncio
import contextlib
import io
import json
import pathlib
import random
import resource
import signal
import socket
import tempfile

from bulrushrudder.tests.builders import process_watch
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
SLOTS = 400
# Of each kind; each runs 64 streams at a time.
ENGINES = 4
# Near the limit of the configuration on all headers of a call.
LONG_ID_BYTES = 15_000
# The smallest VM of the platform.
MEMORY_MB = 88
MAX_FDS = 256
# A client that reads nothing lets the kernel hold this much of an answer.
RECEIVE_BUFFER_BYTES = 4096
PIECE_BYTES = 64 * 1024


def uploads(size):
    """Return a function that yields the beginning of a 4 MB upload.

    :param size: bytes that are sent at once; the others come one by one.
    """

    def make_pieces():
        attempt = f'{random.getrandbits(64):016x}'
        yield head('/look/1', 4_000_000, attempt)
        for _ in range(size // PIECE_BYTES):
            yield b'a' * PIECE_BYTES
        for _ in range(1000):
            yield b'a'

    return make_pieces


def head(path, length, attempt, key=clients.KEY, method='POST', more=()):
    """Return the head of a call.

    :param more: pairs of name and value of further headers.
    """
    return http.head(
        f'{method} {path} HTTP/1.1',
        [
            ('Host', clients.HOST),
            ('Attempt-Id', attempt),
            ('Deadline-Ms', '10000'),
            ('Authorization', f'Bearer {key}'),
            ('Content-Length', length),
            *more,
        ],
    )


def stream_calls(count):
    """Yield calls for streams."""
    for _ in range(count):
        attempt = f'{random.getrandbits(64):016x}'
        prompt = [('Model', 'm'), ('Token-Usage', '100,84')]
        yield head('/draft/1', 3, attempt, more=prompt) + b'abc'


def calls(path, count, size=3, **changes):
    """Yield the bytes of calls with different attempt ids."""
    body = b'a' * size
    for _ in range(count):
        attempt = f'{random.getrandbits(64):016x}'
        yield head(path, size, attempt, **changes) + body


def calls_with_long_ids(count, **changes):
    """Yield calls whose attempt ids have LONG_ID_BYTES."""
    for _ in range(count):
        attempt = f'{random.getrandbits(64):016x}' * (LONG_ID_BYTES // 16)
        yield head('/look/1', 3, attempt, **changes) + b'abc'


def endless_head():
    """Yield the bytes of a head that does not end."""
    yield b'POST /look/1 HTTP/1.1\r\nHost: a\r\n'
    for number in range(100):
        yield b'H-%d: %s\r\n' % (number, b'a' * 8000)


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

    def reopen(self, count, times, piece, reads):
        """Open connections one after the other, and reset each.

        :param count: connections at a time.
        :param times: number of connections after each other.
        :param piece: what is sent on each.
        :param reads: whether the first bytes of an answer are awaited.
        :returns: the task that ends when all have been reset.
        """
        task = asyncio.gather(
            *(self._send_again(times, piece, reads) for _ in range(count))
        )
        self._tasks.append(task)
        return task

    def call(self, count, make_pieces):
        """Make calls one after the other on kept connections.

        :param count: number of connections.
        :param make_pieces: function that returns the calls of one of them.
        :returns: the task that ends with the last answer.
        """
        task = asyncio.gather(
            *(self._call(make_pieces()) for _ in range(count))
        )
        self._tasks.append(task)
        return task

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

    async def _call(self, pieces):
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            for piece in pieces:
                writer.write(piece)
                await http.read_answer(reader, http.Answer())
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.transport.abort()

    async def _send_again(self, times, piece, reads):
        loop = asyncio.get_running_loop()
        for _ in range(times):
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.sock_connect(sock, self._address)
                await loop.sock_sendall(sock, piece)
                if reads:
                    await loop.sock_recv(sock, PIECE_BYTES)
            process_watch.close_with_reset(sock)


@contextlib.asynccontextmanager
async def system(
    max_fds=None,
    memory_mb=MEMORY_MB,
    draw=None,
    stream=None,
    root=programs.ROOT,
    edges=1,
):
    """Start a control process, an entry and a server with large answers.

    :param max_fds: descriptors that both may have.
    :param draw: function of rng that returns the Work for a plain call.
    :param stream: the Work of a stream; None for no engines.
    :param root: the checkout whose programs run.
    :param edges: number of entries; some may be cut off if there are more.
    :returns: the Fleet.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        rng = random.Random()
        fleet = programs.Fleet(
            pathlib.Path(folder),
            record.Record(io.StringIO()),
            rng,
            root=root,
            controls=1,
            edges=edges,
        )
        fleet.cuts_paths = edges > 1
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
        large = works.Work(takes_s=0.0, filler=ANSWER_BYTES)
        started = [_server(fleet, rng, 'plain', draw or (lambda _: large))]
        if stream is not None:
            started += [
                _server(fleet, rng, 'engines', lambda _: stream, stage, number)
                for stage in ('prefill', 'decode')
                for number in range(ENGINES)
            ]
        for server in started:
            await server.start()
            stack.callback(server.crash)
        for machine in fleet.edges:
            await wait_until_ready(machine)
        yield fleet


def _server(fleet, rng, service, draw, stage=None, number=0):
    name = f'{stage or service}-{number}'
    return servers.Server(fleet, rng, name, service, stage, SLOTS, draw)


async def wait_until_ready(machine):
    """Wait until a machine answers an ordinary call."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while (await ordinary(machine)).status != 200:
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


async def get(address, path):
    """Make a GET call on a new connection; return the Answer."""
    return await http.call(address, 'GET', path, timeout_s=ORDINARY_TIMEOUT_S)


async def stop(machine):
    """Stop a program as an operator does, and return its exit code."""
    machine.signal(signal.SIGTERM)
    await machine.wait()
    return machine.exit_code


async def put_configuration(machine, body):
    """Send a configuration to a control process; return the Answer."""
    return await http.call(
        machine.address('control_plane'),
        'PUT',
        operators.PATH,
        body,
        timeout_s=ORDINARY_TIMEOUT_S,
    )


async def configuration(machine):
    """Read the configuration of a control process."""
    answer = await get(machine.address('control_plane'), operators.PATH)
    return answer.status, json.loads(answer.body or b'{}')
