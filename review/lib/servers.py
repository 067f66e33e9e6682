"""A stand-in of the platform's runners.

It registers with the core by heartbeats, runs requests in a limited
number of slots with a short queue, and rejects the rest as not executed.
A case gives it functions that answer.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import json
import time

from lib import platform

HEARTBEAT_S = 1.2
QUEUE = 3
_numbers = itertools.count(1)


@dataclasses.dataclass
class Call:
    """A request as it arrived.

    :ivar headers: values by lowercase name.
    :ivar connection: number of the connection at this server.
    """

    method: str
    target: str
    headers: dict
    body: bytes
    connection: int

    @property
    def attempt(self):
        """Return the id of the client's attempt."""
        return self.headers.get('attempt-id', '')


def head(status, pairs):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status}', *(f'{n}: {v}' for n, v in pairs)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def chunk(data):
    """Return data as a chunk of a body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


class Server:
    """One runner.

    :param answer: coroutine function of (server, call, writer) that runs
        a request and writes its answer.
    :ivar runs: ids of the attempts that it began to work on, with times.
    :ivar arrivals: pairs of attempt id and seconds of all that arrived
        and was meant to run here.
    """

    def __init__(
        self, record, controls, service, zone, answer, stage=None, slots=6
    ):
        self.id = f'i-{next(_numbers):08x}'
        self.record = record
        self.service = service
        self.zone = zone
        self.stage = stage
        self.slots = slots
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.runs = collections.Counter()
        self.arrivals = []
        self.address = None
        self.reach = lambda address: address
        self._answer = answer
        self._controls = controls
        self._sequence = 0
        self._busy = 0
        self._waiting = collections.deque()
        self._connections = 0
        self._writers = set()
        self._listener = None
        self._beats = None
        self.before_answer = None

    def signature(self):
        """Return the value of Server-Signature."""
        return f'3e1b.07.5a2.600.0.{self.id}'

    async def start(self, stack):
        """Listen, and send heartbeats until the exit stack closes."""
        self._listener = await asyncio.start_server(
            self._serve, '127.0.0.1', 0
        )
        self.address = self._listener.sockets[0].getsockname()[:2]
        stack.callback(self.crash)
        await self.beat()
        self._beats = asyncio.create_task(self._beat_forever())
        stack.callback(self._beats.cancel)
        return self

    def crash(self):
        """End: refuse connections and reset the open ones."""
        if self._beats is not None:
            self._beats.cancel()
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()

    def stop_beats(self):
        """Send no further heartbeats."""
        self._beats.cancel()

    def beat_body(self):
        """Return the body of the next heartbeat."""
        self._sequence += 1
        content = {
            'service': self.service,
            'address': '%s:%d' % self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': self.born,
        }
        if self.stage:
            content['stage'] = self.stage
            content['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return json.dumps(content).encode()

    async def beat(self):
        """Send a heartbeat, to the next node if one does not answer.

        :returns: whether it was acknowledged.
        """
        body = self.beat_body()
        for machine in self._controls:
            status, _ = await platform.call(
                self.reach(machine.address('control_plane')),
                'PUT',
                f'{platform.PREFIX}/instances/{self.id}',
                body,
            )
            if 200 <= status < 300:
                return True
        return False

    async def leave(self):
        """Report that this runner is gone, until it is acknowledged.

        :returns: the seconds of the acknowledgement.
        """
        body = json.dumps({'born': self.born}).encode()
        for machine in itertools.cycle(self._controls):
            status, _ = await platform.call(
                self.reach(machine.address('control_plane')),
                'DELETE',
                f'{platform.PREFIX}/instances/{self.id}',
                body,
            )
            if 200 <= status < 300:
                self.record.write(
                    f'{self.id}: {machine.name} acknowledged that it is gone'
                )
                return self.record.now_s()
            await asyncio.sleep(0.1)

    async def _beat_forever(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    async def _serve(self, reader, writer):
        self._connections += 1
        number = self._connections
        self._writers.add(writer)
        try:
            while True:
                received = await _read(reader, number)
                await self._handle(received, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _handle(self, received, writer):
        if received.target.startswith(platform.PREFIX):
            writer.write(head('200 OK', [('Content-Length', 0)]))
            return
        if self.before_answer is not None:
            await self.before_answer(received, writer)
        expected = received.headers.get('expect-instance')
        if expected not in (None, self.id):
            self.reject(received, writer, '421 Misdirected Request')
            return
        self.arrivals.append((received.attempt, self.record.now_s()))
        if self._busy >= self.slots and len(self._waiting) >= QUEUE:
            self.reject(received, writer, '503 Service Unavailable')
            return
        if self._busy >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        self._busy += 1
        try:
            await self._answer(self, received, writer)
            await writer.drain()
        finally:
            self._busy -= 1
            while self._waiting:
                turn = self._waiting.popleft()
                if not turn.done():
                    turn.set_result(None)
                    break

    def rejection(self, received, status):
        """Return the answer to a request that did not run."""
        pairs = [
            ('Attempt-Id', received.attempt),
            ('Not-Executed', '1'),
            ('Content-Length', 0),
        ]
        return head(status, pairs)

    def reject(self, received, writer, status):
        """Answer that a request did not run."""
        self.record.write(
            f'{self.id}: {received.attempt} rejected with {status[:3]}, '
            f'not executed (connection {received.connection})'
        )
        writer.write(self.rejection(received, status))

    def begin(self, received):
        """Record that this runner begins to work on a request."""
        self.runs[received.attempt] += 1
        self.record.write(
            f'{self.id}: runs {received.attempt} '
            f'(connection {received.connection})'
        )

    def set_answer(self, answer):
        """Replace the function that answers requests."""
        self._answer = answer

    def write_answer(self, received, writer, body):
        """Write a complete answer with status 200."""
        writer.write(self.answer_bytes(received, body))

    def answer_bytes(self, received, body):
        """Return a complete answer with status 200."""
        pairs = [
            ('Attempt-Id', received.attempt),
            ('Server-Signature', self.signature()),
            ('Content-Type', 'text/plain'),
            ('Content-Length', len(body)),
        ]
        return head('200 OK', pairs) + body

    def write_prefill_answer(self, received, writer, tokens):
        """Write the answer to a prefill."""
        body = json.dumps(
            {
                'kv_handle': f'{next(_numbers):012x}',
                'token_count': tokens,
                'version': 1,
            }
        ).encode()
        pairs = [
            ('Attempt-Id', received.attempt),
            ('Content-Type', 'application/json'),
            ('Content-Length', len(body)),
        ]
        writer.write(head('200 OK', pairs) + body)

    def write_stream_head(self, received, writer):
        """Write the head of a stream of events."""
        pairs = [
            ('Attempt-Id', received.attempt),
            ('Server-Signature', self.signature()),
            ('Weight-Versions', 1),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        writer.write(head('200 OK', pairs))

    async def write_stream(self, received, writer, events, pause_s):
        """Write a whole stream of numbered events."""
        self.write_stream_head(received, writer)
        for number in range(1, events + 1):
            writer.write(
                chunk(f'id: {number}\ndata: piece-{number}\n\n'.encode())
            )
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(chunk(b''))


async def _read(reader, number):
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    request_line, *lines = text.split('\r\n')[:-2]
    method, target, _ = request_line.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Call(method, target, headers, body, number)
