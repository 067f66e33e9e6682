"""Persistent connections to backend servers.

A connection carries one call at a time. It is reused only after a
complete response without any bytes after it, and closed if bytes arrive
while it is idle. Calls are never retried here.
"""

import asyncio
import collections

import httptools

from bulrushrudder.core import digests
from bulrushrudder.core import path_errors
from bulrushrudder.engines import framing
from bulrushrudder.engines import responses
from bulrushrudder.lifecycle import paths
from bulrushrudder.utils import sockets

# Servers that state no idle timeout close idle connections after some
# seconds.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# What a connection buffers is counted with each call (utils/client_ledger).
MAX_BUFFERED_BYTES = 16 * 1024
# Limit on the bytes of a response that are not its body: heads, interim
# responses, chunk sizes with extensions, and trailers. Small chunks take
# several times the size of their data.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE = 8
# Bounds the time on the loop for what has arrived on one connection.
RECEIVE_BUFFER_BYTES = 16 * 1024
_RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
# A late copy of an answer precedes the answer to the next call.
MAX_SKIPPED_RESPONSES = 2
# A call is not sent on a connection that carried one with the same id among
# this many calls: the id would not tell a late copy from the answer.
REMEMBERED_CALLS = 64
# Bounds how long the rest of a call is kept that was answered early.
REST_TIMEOUT_S = 2.0
# A switch of protocols, which no call asks for, is not a HttpParserError.
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


def ignore_head(*_):
    """Ignore the head of a response."""


class Connection(asyncio.BufferedProtocol):
    """One connection, whose response is read in parts.

    A server may send a second copy of a response late, when the next call
    has arrived. A response with the id of another call is skipped, so that
    neither its status nor what it states counts for this one.

    :param id_header: lowercase name of the header in which responses echo
        the id of their call.
    :param kept_bytes: the KeptBytes of the process.
    :ivar idle_timeout_s: seconds for which it may stay idle.
    :ivar relay: the Owner through which it goes, None if it is direct.
    """

    def __init__(self, id_header, kept_bytes):
        self._id_header = id_header
        self._kept_bytes = kept_bytes
        self._call_id = ''
        self._room = None
        self._without_body = False
        self._earlier_ids = collections.deque(maxlen=REMEMBERED_CALLS)
        self._calls = 0
        self._skipped = 0
        self._skipping = False
        self._transport = None
        self._path_watch = None
        self._parser = None
        self._parts = collections.deque()
        self._buffered = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._waiter = None
        self._on_head = ignore_head
        self._status = 0
        self._headers = []
        self._self_delimited = False
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._has_head = False
        self._ended = True
        self._complete = False
        self._closed = False
        self._not_reusable = False
        self._broke = False
        self.reusable_until_s = 0.0
        self.last_used_s = 0.0
        self.relay = None

    @property
    def usable(self):
        """Return whether the connection can be reused for another call."""
        return self._ended and not self._not_reusable and not self._closed

    @property
    def closed(self):
        """Return whether the connection has ended."""
        return self._closed

    @property
    def idle(self):
        """Return whether the connection has carried a call and can again."""
        return self.usable and self.last_used_s > 0.0

    @property
    def broke_unanswered(self):
        """Return whether it broke while the head of an answer was due."""
        return self._closed and self._broke and not self._has_head

    @property
    def answered(self):
        """Return whether the latest call has the head of its answer."""
        return self._has_head

    def has_carried(self, call_id):
        """Return whether a recent call on this connection had an id."""
        return bool(call_id) and (
            digests.shorten(call_id) in self._earlier_ids
        )

    def send(self, call, on_head):
        """Send a call.

        :param call: the Call.
        :param on_head: function of the Head, called when it arrives.
        """
        self._call_id = call.id
        self._room = call.room
        self._without_body = call.without_body
        self._on_head = on_head
        self._parser = httptools.HttpResponseParser(self)
        self._parts.clear()
        self._buffered = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._status = 0
        self._headers = []
        self._self_delimited = False
        self._has_head = False
        self._ended = False
        self._complete = False
        self._skipped = 0
        self._skipping = False
        self._calls += 1
        if call.id:
            self._earlier_ids.append(digests.shorten(call.id))
        self._path_watch.sent(len(call.data))
        self._transport.write(call.data)

    async def part(self):
        """Wait for the next Head, BodyChunk, End or Problem."""
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        if isinstance(part, responses.BodyChunk):
            self._track_buffered(-len(part.data))
        return part

    async def keep(self, size):
        """Record how many bytes of the response its reader keeps.

        Waits while there is no room for more of it. What arrives meanwhile
        fills the buffers, and then the server waits.
        """
        if self._room is None or not self._room.is_open:
            self._kept_bytes.update(self, size, self._give_up)
        else:
            await self._room.take(size, self._give_up)

    def release(self):
        """Record that the reader is done with the response."""
        self._kept_bytes.release(self)
        if self._room is not None:
            self._room.end_reading()
            self._room = None

    def abort(self):
        """Close the connection immediately."""
        self._not_reusable = True
        if self._transport is not None and not self._closed:
            self._transport.abort()

    def retire(self):
        """Close the connection after its last call.

        A server may answer a call early and read the rest of it later, so
        that rest is still written, within a time limit.
        """
        self._not_reusable = True
        if self._closed or self._transport is None:
            return
        if self._complete and self._transport.get_write_buffer_size():
            self._transport.close()
            asyncio.get_running_loop().call_later(REST_TIMEOUT_S, self.abort)
            return
        self._transport.abort()

    # Called by the transport.

    def connection_made(self, transport):
        """Store the transport and let the kernel watch its path."""
        self._transport = transport
        self._path_watch = sockets.PathWatch(
            transport.get_extra_info('socket')
        )

    def get_buffer(self, size):
        """Return the buffer for received data.

        All connections share it, as data is parsed as soon as it is there.
        """
        return _RECEIVE_BUFFER

    def buffer_updated(self, size):
        """Parse received data; close the connection if none is expected."""
        self._path_watch.received()
        if self._ended:
            self.abort()
            return
        self._received_bytes += size
        try:
            self._parser.feed_data(_RECEIVE_BUFFER[:size])
        except _PARSER_ERRORS as error:
            self._reject(type(error).__name__)
            return
        framing_bytes = self._received_bytes - self._body_bytes
        if not self._ended and framing_bytes > (
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        ):
            self._reject(
                f'{framing_bytes} bytes of head, chunk sizes or trailers for '
                f'{self._body_bytes} bytes of body'
            )

    def eof_received(self):
        """End the response, which is complete only if that is its end.

        A server that has not received the whole call has not answered it,
        unless it has said where its answer ends.
        """
        if self._ended:
            return
        if not self._has_head or self._self_delimited:
            self._break('connection closed before the response was complete')
        elif self._call_arrived():
            self._not_reusable = True
            self._end(at_close=True)
        else:
            self._break('connection closed before the call was written')

    def connection_lost(self, error):
        """Fail a call that is in progress."""
        self._closed = True
        self._broke = error is not None and not self._ended
        self._fail(
            responses.ProblemKind.BROKEN,
            repr(error)
            if error
            else 'connection closed before the response was complete',
            paths.is_of_server(
                self.relay is not None,
                isinstance(error, path_errors.TunnelBrokeError),
            ),
        )

    # Called by the parser.

    def on_message_begin(self):
        """Prevent reuse if a second response follows."""
        if self._ended:
            self._not_reusable = True

    def on_status(self, status):
        """Ignore the reason phrase."""

    def on_header(self, name, value):
        """Collect a header."""
        if not self._ended:
            self._headers.append(
                (name.decode('latin-1'), value.decode('latin-1'))
            )

    def on_headers_complete(self):
        """Queue the head, unless the response is interim."""
        if self._ended:
            return
        self._status = self._parser.get_status_code()
        if not framing.is_valid(self._status):
            self._reject(f'status {self._status:03d}, expected 100 to 599')
            return
        if framing.is_interim(self._status):
            return
        head = responses.Head(self._status, tuple(self._headers))
        if not self._belongs_to_call(head):
            return
        self._has_head = True
        self._self_delimited = framing.is_self_delimited(head)
        self.idle_timeout_s = framing.idle_timeout_s(
            head, DEFAULT_IDLE_TIMEOUT_S
        )
        if framing.announces_forbidden_body(head):
            self._not_reusable = True
        self._on_head(head)
        self._put(head)
        if self._without_body:
            self._not_reusable = True
            self._end()

    def on_body(self, data):
        """Queue a chunk of the body."""
        if self._ended or self._skipping:
            return
        self._body_bytes += len(data)
        self._track_buffered(len(data))
        if self._parts and isinstance(self._parts[-1], responses.BodyChunk):
            # Small chunks would take many times the memory of their data.
            self._parts[-1].data += data
        else:
            self._put(responses.BodyChunk(bytearray(data)))

    def on_message_complete(self):
        """Queue the end of the response."""
        if self._ended:
            return
        if framing.is_interim(self._status):
            self._headers = []
            return
        if self._skipping:
            self._skipping = False
            self._headers = []
            return
        if not self._parser.should_keep_alive():
            self._not_reusable = True
        if not self._call_arrived():
            # The server responded before it had read the whole call.
            self._not_reusable = True
        self._end()

    def _belongs_to_call(self, head):
        """Return whether a response answers the call; skip it otherwise.

        A connection that has brought a foreign response is not reused.
        """
        match = framing.compare_id(head.header(self._id_header), self._call_id)
        first_call = self._calls == 1
        if match is framing.Match.SAME or (
            match is framing.Match.MISSING and first_call
        ):
            return True
        self._not_reusable = True
        self._skipped += 1
        copy = match is framing.Match.OTHER and not first_call
        if (
            copy
            and self._skipped <= MAX_SKIPPED_RESPONSES
            and framing.is_self_delimited(head)
            and self._parser.should_keep_alive()
        ):
            self._skipping = True
            return False
        self._reject(
            f'status {head.status} with call id '
            f'{head.header(self._id_header)!r}, expected {self._call_id!r}'
        )
        return False

    def _call_arrived(self):
        return not sockets.unsent_bytes(self._transport)

    def _end(self, at_close=False):
        self._ended = True
        self._complete = True
        self._put(responses.End(at_close))

    def _break(self, detail):
        """Fail the call, as its response was cut, and close."""
        of_server = paths.is_of_server(self.relay is not None)
        self._fail(responses.ProblemKind.BROKEN, detail, of_server)
        self.abort()

    def _reject(self, detail):
        """Fail the call and close the connection, so that no more comes."""
        self._fail(responses.ProblemKind.INVALID, detail, of_server=True)
        self.abort()

    def _give_up(self):
        self._reject('the answers being read take too much memory')

    def _fail(self, kind, detail, of_server):
        if self._ended:
            return
        self._ended = True
        self._not_reusable = True
        self._put(responses.Problem(kind, detail, True, of_server))

    def _put(self, part):
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _track_buffered(self, size):
        before = self._buffered
        self._buffered += size
        if self._closed or self._transport is None:
            return
        if before <= MAX_BUFFERED_BYTES < self._buffered:
            self._transport.pause_reading()
        elif self._buffered <= MAX_BUFFERED_BYTES < before:
            self._transport.resume_reading()
