"""A fake of the platform's runners on real sockets.

It records each complete call and answers with the steps that a function
returns for it: bytes to send, or coroutines that inject faults.
"""

import asyncio
import dataclasses

from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import scripted_engines

ATTEMPT = '9c41d07be2a35f68'
HANDLE = '3fa09c41b7d5'
SIGNATURE = '3e1b.07.5a2.600.0.c9f2a4d1'
CHECK_INTERVAL_S = 0.01
RESET_AFTER_S = 0.05
reset = scripted_engines.reset


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call as a runner received it."""

    method: str
    target: str
    headers: dict
    body: bytes
    connection: int


def answer(body=b'', status='200 OK', headers=(), attempt=ATTEMPT):
    """Return a complete answer with a Content-Length as bytes."""
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
    if attempt:
        lines.append(f'Attempt-Id: {attempt}')
    lines.append(f'Server-Signature: {SIGNATURE}')
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def not_run():
    """Return the refusal of a runner that has no free slot."""
    return answer(
        status='503 Service Unavailable',
        headers=[('Not-Executed', '1')],
    )


def stream_head(attempt=ATTEMPT):
    """Return the head of a stream of events."""
    return (
        'HTTP/1.1 200 OK\r\n'
        f'Attempt-Id: {attempt}\r\n'
        f'Server-Signature: {SIGNATURE}\r\n'
        'Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def stream_head_without_length(attempt=ATTEMPT):
    """Return the head of a stream that ends with its connection."""
    framed = stream_head(attempt)
    return framed.replace(b'Transfer-Encoding: chunked\r\n', b'')


def event(number):
    """Return one event of a stream as bytes."""
    return f'id: {number}\ndata: piece-{number}\n\n'.encode()


def stream(first, last):
    """Return a complete stream with the events from first to last."""
    pieces = [
        scripted_engines.chunk(event(number))
        for number in range(first, last + 1)
    ]
    return stream_head() + b''.join(pieces) + scripted_engines.chunk(b'')


async def shut_down(writer):
    """Close the sending side only; a step of an answer."""
    writer.write_eof()


async def reset_soon(writer):
    """Reset the connection after a short time; a step of an answer."""
    await asyncio.sleep(RESET_AFTER_S)
    await reset(writer)


class Runner:
    """A fake runner.

    :param reply: function of a Call that returns the steps of an answer:
        bytes, or coroutine functions of the writer.
    :param reads_bodies: whether it reads a call whole before it answers;
        otherwise the body in its Calls is empty, and it closes the
        connection after its answer.
    :ivar calls: the calls that it has received.
    :ivar bodies: what read_body has read.
    :ivar connections: number of connections that it has accepted.
    :ivar port: the port that it listens on; None until it is started.
    """

    def __init__(self, reply, reads_bodies=True):
        self._reply = reply
        self._reads_bodies = reads_bodies
        self.calls = []
        self.bodies = []
        self.connections = 0
        self.port = None
        self._listener = None
        self._writers = set()
        self._readers_by_writer = {}

    async def start(self, stack):
        """Listen until the exit stack closes."""
        self._listener = await asyncio.start_server(
            self._serve, '127.0.0.1', 0
        )
        stack.callback(self._listener.close)
        self.port = self._listener.sockets[0].getsockname()[1]
        return self

    def set_reply(self, reply):
        """Answer later calls with the steps that another function returns."""
        self._reply = reply

    def stop_listening(self):
        """Refuse new connections."""
        self._listener.close()

    async def crash(self, writer):
        """Close all connections and accept no more; a step of an answer."""
        self.stop_listening()
        for connected in self._writers:
            connected.transport.abort()
        raise ConnectionResetError('the runner crashed')

    async def until_closed(self, writer):
        """Work until the caller closes its connection; a step of an answer.

        :raises ConnectionResetError: once it has closed it.
        """
        reader = self._readers_by_writer[writer]
        while not (reader.at_eof() or reader.exception()):
            await asyncio.sleep(CHECK_INTERVAL_S)
        raise ConnectionResetError('the caller has closed the connection')

    async def read_body(self, writer):
        """Read the rest of the latest call; a step of an answer."""
        size = int(self.calls[-1].headers['Content-Length'])
        body = await self._readers_by_writer[writer].readexactly(size)
        self.bodies.append(body)

    def server(self, server_id='i-1', kind='decode', **changes):
        """Return the BackendServer of this runner."""
        return fleet.server(
            server_id, kind=kind, port=self.port, run_id=server_id, **changes
        )

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        self._readers_by_writer[writer] = reader
        number = self.connections
        try:
            while True:
                received = await _read(reader, number, self._reads_bodies)
                self.calls.append(received)
                for step in self._reply(received):
                    if isinstance(step, bytes):
                        writer.write(step)
                        await writer.drain()
                    else:
                        await step(writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
        ):
            writer.close()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            del self._readers_by_writer[writer]


async def _read(reader, number, reads_body):
    head = await reader.readuntil(b'\r\n\r\n')
    request_line, *lines = head.decode().split('\r\n')[:-2]
    method, target, _ = request_line.split(' ')
    pairs = dict(line.split(': ', 1) for line in lines)
    size = int(pairs.get('Content-Length', 0)) if reads_body else 0
    body = await reader.readexactly(size)
    return Call(method, target, pairs, body, number)
