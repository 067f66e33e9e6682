"""Clients that go on at a machine while it stops."""

import asyncio
import contextlib
import dataclasses
import socket

from bulrushrudder.tests.soak import clients
from bulrushrudder.tests.soak import http
from bulrushrudder.tests.soak import manners
from bulrushrudder.tests.soak import record

DEADLINE_S = 7.0
CHUNK = 512
# Small, so that an answer waits at the sender while it is read slowly.
RECEIVE_BUFFER = 8192
SLOW_READ_S = 2.0


@dataclasses.dataclass
class _Call:
    """A call on its way.

    :ivar due_s: when its answer may be expected: its last byte was sent
        and the answer before it was read.
    """

    attempt: str
    path: str
    sent_s: float
    last_byte_s: float | None = None
    due_s: float | None = None
    answer: http.Answer = dataclasses.field(default_factory=http.Answer)


class Client:
    """A client that sends calls until it is cancelled.

    It stays at a machine until that refuses connections. A share of the
    clients goes on after an answer with Connection: close and does not
    wait as told, and a share reads slowly.

    :param fleet: the Fleet.
    :param rng: random.Random of this client.
    :param paths: function that returns the paths to choose from.
    """

    def __init__(self, fleet, rng, paths):
        self._fleet = fleet
        self._record = fleet.record
        self._rng = rng
        self._paths = paths
        self._leaves = rng.random() < 0.3
        self._reads_slowly = rng.random() < 0.25
        self._machine = rng.choice(fleet.edges)
        self._process = ''
        self._writer = None
        self._reader = None

    async def run(self):
        """Send calls until cancelled."""
        try:
            while True:
                pause_s = manners.draw_pause_s(self._rng)
                if self.is_open() or await self.open():
                    retry_after_s = await self.play(manners.draw(self._rng))
                    if self._leaves:
                        pause_s = max(pause_s, min(0.5, retry_after_s))
                await asyncio.sleep(pause_s)
        finally:
            self.close()

    def is_open(self):
        """Return whether the next call goes on an open connection."""
        if self._writer is None:
            return False
        if self._reader.at_eof() or self._writer.is_closing():
            self.close()
            return False
        return True

    async def open(self):
        """Connect to the machine, or choose another if it refuses.

        :returns: whether the connection is open.
        """
        self._process = self._machine.process
        opened = socket.socket()
        if self._reads_slowly:
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
            )
        opened.setblocking(False)
        try:
            async with asyncio.timeout(http.CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(
                    opened, self._machine.address('frontend')
                )
        except (OSError, TimeoutError) as error:
            opened.close()
            self._record.write(f'client: {self._process}: {error!r}')
            self._machine = self._rng.choice(self._fleet.edges)
            return False
        self._reader, self._writer = await asyncio.open_connection(sock=opened)
        # Waiting for the writer then means that all has been sent.
        self._writer.transport.set_write_buffer_limits(0)
        return True

    async def play(self, manner):
        """Send one call or two, and read the answers.

        :returns: seconds after which the client is asked to come back.
        """
        count = 2 if isinstance(manner, manners.Pipelined) else 1
        calls = [self._new_call() for _ in range(count)]
        sending = asyncio.create_task(self._send(calls, manner))
        try:
            ending = await self._read_all(calls)
        finally:
            has_sent = sending.done()
            sending.cancel()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await sending
        if ending is not record.Ending.ANSWERED or not has_sent:
            self.close()
        elif self._leaves and self._says_close(calls[-1]):
            self.close()
            self._machine = self._rng.choice(self._fleet.edges)
        return float(calls[-1].answer.headers.get('retry-after', 0.0))

    def _says_close(self, call):
        return call.answer.headers.get('connection', '').lower() == 'close'

    def _new_call(self):
        return _Call(
            f'{self._rng.getrandbits(64):016x}',
            self._rng.choice(self._paths()),
            self._record.now_s(),
        )

    async def _send(self, calls, manner):
        match manner:
            case manners.InChunks(pauses_s=pauses_s):
                await self._send_in_chunks(calls[0], pauses_s)
            case manners.HalfSent(after_s=after_s):
                await self._send_half(calls[0], after_s)
                return
            case _:
                self._writer.write(b''.join(map(_whole, calls)))
                await self._writer.drain()
        for call in calls:
            call.last_byte_s = call.due_s = self._record.now_s()

    async def _send_in_chunks(self, call, pauses_s):
        size = CHUNK * len(pauses_s)
        body = record.filler(call.attempt, size)
        self._writer.write(_head(call, size, ('Transfer-Encoding', 'chunked')))
        for start, pause_s in zip(
            range(0, size, CHUNK), pauses_s, strict=True
        ):
            await self._writer.drain()
            await asyncio.sleep(pause_s)
            self._writer.write(http.chunk(body[start : start + CHUNK]))
        self._writer.write(http.chunk(b''))
        await self._writer.drain()

    async def _send_half(self, call, after_s):
        head = _head(call, CHUNK, ('Content-Length', CHUNK))
        half = record.filler(call.attempt, CHUNK // 2)
        self._writer.write(head + half)
        await asyncio.sleep(after_s)
        self.close()

    async def _read_all(self, calls):
        """Read answers until one does not come.

        :returns: the Ending of all calls from there on.
        """
        ending = record.Ending.ANSWERED
        for call in calls:
            if ending is record.Ending.ANSWERED:
                ending = await self._read(call)
            else:
                # Nothing can be told from bytes behind a missing answer.
                self._expect(call)
                self._record.add_sent(self._seen(call, ending))
        return ending

    async def _read(self, call):
        """Read an answer and record what came.

        :returns: the Ending.
        """
        self._expect(call)
        left_s = call.sent_s + DEADLINE_S - self._record.now_s()
        ending = record.Ending.ANSWERED
        try:
            async with asyncio.timeout(left_s):
                await self._read_answer(call.answer)
        except TimeoutError:
            ending = record.Ending.LEFT
        except asyncio.IncompleteReadError:
            ending = record.Ending.CLOSED
        except OSError:
            ending = record.Ending.RESET
        self._record.add_sent(self._seen(call, ending))
        return ending

    def _expect(self, call):
        """Note that no other answer comes before that of a call."""
        if call.due_s is not None:
            call.due_s = max(call.due_s, self._record.now_s())

    async def _read_answer(self, answer):
        if self._reads_slowly:
            await http.read_answer(self._reader, answer, SLOW_READ_S)
        else:
            await http.read_answer(self._reader, answer)

    def _seen(self, call, ending):
        answer = call.answer
        return record.Sent(
            call.attempt,
            call.path,
            call.path.startswith('/look'),
            call.sent_s,
            self._record.now_s(),
            answer.status,
            record.condensed(answer.body),
            answer.whole,
            answer.headers.get('server-signature', ''),
            False,
            self._process,
            call.last_byte_s,
            call.due_s,
            ending,
            DEADLINE_S,
        )

    def close(self):
        """Close the connection, if one is open."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = self._reader = None


def _whole(call):
    head = _head(call, CHUNK, ('Content-Length', CHUNK))
    return head + record.filler(call.attempt, CHUNK)


def _head(call, size, framing):
    pairs = [
        ('Host', clients.HOST),
        ('Attempt-Id', call.attempt),
        ('Deadline-Ms', int(DEADLINE_S * 1000)),
        ('Authorization', f'Bearer {clients.KEY}'),
        ('Body-Size', size),
        framing,
    ]
    if call.path.startswith('/draft'):
        pairs += clients.prompt(call.attempt)
    return http.head(f'POST {call.path} HTTP/1.1', pairs)
