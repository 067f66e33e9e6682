"""Connections to backend servers, kept between calls.

A connection carries one call at a time. It is used again only after a
whole answer with nothing behind it; bytes that come on an idle one end
it. Nothing is ever sent a second time here.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import re

import httptools
from returns import result

from bulrushrudder.utils import sockets

# Many times a round trip between zones; a lost opening packet is sent
# again after a second only, and dialling anew is faster.
CONNECT_S = 0.35
# Servers that name no idle time-out close within some seconds.
IDLE_S = 2.0
# Part of a stated idle time-out after which a connection is not used.
IDLE_SHARE = 0.6
MAX_BUFFERED_BYTES = 64 * 1024
_KEEP_ALIVE = re.compile(r'timeout\s*=\s*(\d+)', re.IGNORECASE)


class ProblemKind(enum.Enum):
    """How a call went wrong."""

    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A call without a whole answer.

    :param sent: whether the server may have seen the call.
    """

    kind: ProblemKind
    detail: str
    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The status and the headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def header(self, name):
        """Return a header's value, or None.

        :param name: in lowercase.
        """
        for found, value in self.headers:
            if found.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """Some bytes of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The answer is whole."""


class Connection(asyncio.Protocol):
    """One connection; its answer is read part by part."""

    def __init__(self):
        self._transport = None
        self._parser = None
        self._parts = collections.deque()
        self._buffered = 0
        self._waiter = None
        self._status = 0
        self._headers = []
        self._framed = False
        self._has_head = False
        self._without_body = False
        self._ended = True
        self._closed = False
        self._odd = False
        self.idle_until_s = 0.0
        self.used_s = 0.0

    @property
    def usable(self):
        """Return whether another call may be sent."""
        return self._ended and not self._odd and not self._closed

    def send(self, data, without_body):
        """Send a call.

        :param data: the bytes of the whole call.
        :param without_body: whether the answer has no body, whatever
            its headers say.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._parts.clear()
        self._buffered = 0
        self._status = 0
        self._headers = []
        self._framed = False
        self._has_head = False
        self._ended = False
        self._without_body = without_body
        self._transport.write(data)

    def keep_s(self):
        """Return the seconds that the connection may stay idle."""
        for name, value in self._headers:
            if name.lower() == 'keep-alive':
                stated = _KEEP_ALIVE.search(value)
                if stated:
                    return int(stated.group(1)) * IDLE_SHARE
        return IDLE_S

    async def part(self):
        """Return the next Head, Piece, End or Problem."""
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        found = self._parts.popleft()
        if isinstance(found, Piece):
            self._count(-len(found.data))
        return found

    def abort(self):
        """Close the connection without delay."""
        self._odd = True
        if self._transport is not None:
            self._transport.abort()

    # Called by the transport.

    def connection_made(self, transport):
        """Take the transport over."""
        self._transport = transport
        sockets.enable_keepalive(transport.get_extra_info('socket'))

    def data_received(self, data):
        """Parse what the server sent."""
        if self._ended:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._odd = True
            self._fail(ProblemKind.INVALID, type(error).__name__)

    def eof_received(self):
        """Take note that the server sends no more."""
        if not self._ended and self._has_head and not self._framed:
            self._odd = True
            self._end()

    def connection_lost(self, error):
        """Take note that the connection is gone."""
        self._closed = True
        self._fail(ProblemKind.BROKEN, repr(error) if error else 'closed')

    # Called by the parser.

    def on_message_begin(self):
        """Take note of an answer that follows the one asked for."""
        if self._ended:
            self._odd = True

    def on_status(self, status):
        """Leave the reason phrase out."""

    def on_header(self, name, value):
        """Collect a header."""
        if not self._ended:
            self._headers.append(
                (name.decode('latin-1'), value.decode('latin-1'))
            )

    def on_headers_complete(self):
        """Hand the head on."""
        if self._ended:
            return
        self._status = self._parser.get_status_code()
        if self._is_interim():
            return
        self._has_head = True
        head = Head(self._status, tuple(self._headers))
        self._framed = _is_framed(head)
        self._put(head)
        if self._without_body:
            self._odd = True
            self._end()

    def on_body(self, data):
        """Hand a piece of the body on."""
        if not self._ended:
            self._count(len(data))
            self._put(Piece(data))

    def on_message_complete(self):
        """Hand the end on."""
        if self._ended:
            return
        if self._is_interim():
            self._headers = []
            return
        if not self._parser.should_keep_alive():
            self._odd = True
        if self._transport.get_write_buffer_size():
            # The server answered before it had read the whole call.
            self._odd = True
        self._end()

    def _is_interim(self):
        return 100 <= self._status < 200

    def _end(self):
        self._ended = True
        self._put(End())

    def _fail(self, kind, detail):
        if self._ended:
            return
        self._ended = True
        self._odd = True
        self._put(Problem(kind, detail, True))

    def _put(self, part):
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _count(self, size):
        before = self._buffered
        self._buffered += size
        if self._closed or self._transport is None:
            return
        if before <= MAX_BUFFERED_BYTES < self._buffered:
            self._transport.pause_reading()
        elif self._buffered <= MAX_BUFFERED_BYTES < before:
            self._transport.resume_reading()


def _is_framed(head):
    """Return whether the end of an answer shows without a close."""
    if head.status in (204, 304):
        return True
    names = {name.lower() for name, _ in head.headers}
    return 'content-length' in names or 'transfer-encoding' in names


class Connections:
    """Keeps idle connections by server."""

    def __init__(self):
        self._idle_by_server = collections.defaultdict(list)

    @contextlib.asynccontextmanager
    async def call(self, server, data, without_body=False, idle_s=IDLE_S):
        """Send a call and give its Connection, or a Problem.

        :param server: the BackendServer.
        :param data: the bytes of the whole call.
        :param idle_s: seconds that the connection may have been idle.
        """
        match await self._connect(server, idle_s):
            case result.Failure(problem):
                yield result.Failure(problem)
                return
            case result.Success(found):
                pass
        found.send(data, without_body)
        try:
            yield result.Success(found)
        finally:
            self._keep(server, found)

    def close(self):
        """Close all idle connections."""
        for idle in self._idle_by_server.values():
            for found in idle:
                found.abort()
        self._idle_by_server.clear()

    async def _connect(self, server, idle_s):
        idle = self._idle_by_server[_key(server)]
        now_s = asyncio.get_running_loop().time()
        while idle:
            found = idle.pop()
            fresh = now_s - found.used_s <= idle_s
            if found.usable and now_s < found.idle_until_s and fresh:
                return result.Success(found)
            found.abort()
        return await _dial(server)

    def _keep(self, server, found):
        if not found.usable:
            found.abort()
            return
        now_s = asyncio.get_running_loop().time()
        found.used_s = now_s
        found.idle_until_s = now_s + found.keep_s()
        self._idle_by_server[_key(server)].append(found)


async def _dial(server):
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_S):
            _, found = await loop.create_connection(
                Connection, server.host, server.port
            )
    except (OSError, TimeoutError) as error:
        detail = repr(error)
        return result.Failure(
            Problem(ProblemKind.UNREACHABLE, detail, sent=False)
        )
    return result.Success(found)


def _key(server):
    return server.host, server.port, server.id, server.incarnation
