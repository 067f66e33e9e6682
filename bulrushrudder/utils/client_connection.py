"""A server connection of aiohttp whose memory is bounded.

aiohttp parses what a client sends ahead, up to 32 requests, and reads 256
KiB at once. Here, bytes behind a request that is being answered are not
parsed, and beyond a bound not read, so that they stay in the kernel.

This relies on the fields of RequestHandler in the pinned version of
aiohttp: _messages, _request_count, _handle_request, and those by which it
pauses reading.
"""

import asyncio

from aiohttp import web

from bulrushrudder.utils import client_ledger
from bulrushrudder.utils import sockets
from bulrushrudder.utils import unread_timer

# Bytes that are read at once, and that are parsed at once of a body whose
# end is not known.
READ_BYTES = 16 * 1024
FEED_BYTES = 4 * 1024
# Parsed with a head, so that a malformed first chunk is an error of the
# request as a whole.
FIRST_CHUNK_BYTES = 256
# A buffer of an unread body; aiohttp stops reading at twice as much.
BODY_BUFFER_BYTES = 32 * 1024
# Enough for a head that is refused as too large to be answered.
MAX_HEAD_BYTES = 128 * 1024
# A body is held as it was read and as it is sent to a server.
BODY_COPIES = 2
# A head is parsed to text and kept as bytes. That of a call is also kept as
# it is forwarded and sent, and servers echo ids.
HEAD_COPIES = 2
CALL_HEAD_COPIES = 8
_END_OF_HEAD = b'\r\n\r\n'
_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_BUFFER = memoryview(bytearray(READ_BYTES))
_Holding = client_ledger.Holding
_Stage = client_ledger.Stage


async def hold_answer(request, response):
    """Count the answer that is about to be sent.

    :param request: the aiohttp request.
    :param response: its response; one that is streamed counts with its
        write buffer.
    """
    body = getattr(response, 'body', None)
    size = client_ledger.STREAM_BYTES
    if isinstance(body, bytes | bytearray):
        size = len(body)
    request.protocol.hold_answer(size)


class ClientConnection(web.RequestHandler, asyncio.BufferedProtocol):
    """The connection of an untrusted client.

    :param server: the aiohttp Server.
    :param ledger: the Ledger of the listener.
    :param on_lost: function of the connection, called once it is closed.
    :param options: keyword arguments of RequestHandler.
    :ivar ledger: the Ledger.
    :ivar held_by_holding: bytes that it holds, by Holding.
    :ivar refuse_upload: function that ends the reading of a body with a
        refusal; None while no body is read that may be refused.
    """

    __slots__ = (
        '_ahead',
        '_answered',
        '_body',
        '_body_bytes',
        '_body_left',
        '_feeding',
        '_head_bytes',
        '_holds_reading',
        '_marked_bytes',
        '_marked_s',
        '_on_lost',
        '_open_transport',
        '_unanswered',
        '_unread_timer',
        'held_by_holding',
        'ledger',
        'refuse_upload',
    )

    def __init__(self, server, ledger, on_lost, **options):
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            read_bufsize=BODY_BUFFER_BYTES,
            **options,
        )
        self.held_by_holding = {}
        self.refuse_upload = None
        self.ledger = ledger
        self._on_lost = on_lost
        self._ahead = bytearray()
        self._head_bytes = 0
        self._body = None
        self._body_bytes = 0
        # Bytes of the body that are due; None if its length is unknown.
        self._body_left = None
        self._answered = False
        self._unanswered = 0
        self._feeding = False
        self._holds_reading = False
        self._marked_s = self._loop.time()
        self._marked_bytes = 0
        self._open_transport = None
        self._unread_timer = unread_timer.UnreadTimer(
            ledger.limits.unread_s,
            self._look_for_unread,
            lambda: self.drop(client_ledger.Closing.UNREAD_TIMEOUT),
        )

    # What the ledger asks.

    def stage(self):
        """Return the Stage."""
        if self._is_unread():
            return _Stage.UNREAD
        if self._body is not None and not self._body.is_eof():
            return _Stage.INCOMPLETE
        if self._unanswered:
            return _Stage.AHEAD if self._holds_reading else _Stage.BUSY
        if self._head_bytes or self._ahead:
            return _Stage.INCOMPLETE
        return _Stage.IDLE

    def progressed_s(self, now_s):
        """Return the seconds at which it last made progress."""
        if self._is_unread():
            unsent = self._unsent()
            if unsent <= self._marked_bytes - client_ledger.PROGRESS_BYTES:
                self._mark(unsent)
        return self._marked_s

    def drop(self, closing):
        """Close the connection; what is unsent is lost.

        :param closing: the Closing.
        """
        self.ledger.record_closing(closing)
        self.ledger.release(self)
        if self._open_transport is not None:
            self._open_transport.abort()

    # What the listener asks.

    @property
    def sends_ahead(self):
        """Return whether further requests wait behind the present one."""
        return bool(self._ahead)

    def has_unsent_data(self):
        """Return whether a part of an answer waits for the client."""
        return _Holding.ANSWER in self.held_by_holding or (
            self._open_transport is not None
            and self._open_transport.get_write_buffer_size() > 0
        )

    def admit_request(self):
        """Return whether the request whose handler starts is handled."""
        return self.ledger.admit_request(self, self._is_reading_body())

    def admit_call(self):
        """Return whether a request whose body has been read may run."""
        return self.ledger.admit_call(self)

    def hold_answer(self, size):
        """Hold an answer whose size is known, in the place of a guess.

        Its client gets the time to read it from now on.
        """
        self._mark_if_read()
        self.ledger.hold_answer(self, size)

    # What the transport calls.

    def connection_made(self, transport):
        """Bound the buffers of the connection."""
        self._open_transport = transport
        transport.set_write_buffer_limits(high=self.ledger.limits.unsent_bytes)
        self.ledger.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc):
        """Release what the connection holds."""
        self._ahead.clear()
        self._open_transport = None
        self._unread_timer.stop()
        super().connection_lost(exc)
        self.ledger.remove(self)
        self._on_lost(self)

    def get_buffer(self, sizehint):
        """Return the buffer that all connections read into."""
        return _BUFFER

    def buffer_updated(self, nbytes):
        """Take the bytes that have been read."""
        self.data_received(bytes(_BUFFER[:nbytes]))

    def data_received(self, data):
        """Take bytes of the client."""
        if not data:
            # aiohttp goes on with what its parser has kept.
            super().data_received(data)
            return
        if self._force_close or self._close:
            return
        self._ahead += data
        self._feed()

    def pause_writing(self):
        """Begin to watch whether the client reads."""
        super().pause_writing()
        self._marked_bytes = self._unsent()
        self._unread_timer.start()

    def resume_writing(self):
        """Record that the client has taken most of the write buffer."""
        super().resume_writing()
        if self._open_transport is not None:
            self._mark(self._unsent())

    def resume_reading(self, resume_parser=True):
        """Go on after aiohttp has consumed a part of a body."""
        super().resume_reading(resume_parser)
        if self._ahead:
            self._loop.call_soon(self._feed)

    # What aiohttp calls.

    async def _handle_request(self, request, start_time, request_handler):
        self._answered = False
        try:
            return await super()._handle_request(
                request, start_time, request_handler
            )
        finally:
            self._end_answer()

    def _resume_transport_reading(self):
        if not self._holds_reading:
            super()._resume_transport_reading()

    # Reading.

    def _feed(self):
        """Parse what may be parsed now, and hold the rest."""
        if self._feeding or self._open_transport is None:
            return
        self._feeding = True
        try:
            while self._ahead and self._takes_bytes():
                size = self._piece_size()
                piece = bytes(self._ahead[:size])
                del self._ahead[:size]
                self._feed_piece(piece)
        finally:
            self._feeding = False
        if self._open_transport is not None:
            self._hold_ahead()

    def _takes_bytes(self):
        if self._reading_paused or self._force_close or self._close:
            return False
        if self._open_transport.is_closing():
            return False
        return self._is_reading_body() or not self._unanswered

    def _is_reading_body(self):
        return self._body is not None and not self._body.is_eof()

    def _piece_size(self):
        """Return the size of a piece that hardly has two requests."""
        if self._is_reading_body():
            return self._body_left or FEED_BYTES
        end = self._ahead.find(_END_OF_HEAD)
        if end < 0:
            return len(self._ahead)
        end += len(_END_OF_HEAD)
        if b'chunked' in self._ahead[:end].lower():
            return end + FIRST_CHUNK_BYTES
        return end

    def _feed_piece(self, piece):
        reads_body = self._is_reading_body()
        before = self._request_count
        super().data_received(piece)
        begun = self._request_count - before
        if begun and reads_body and not self._body.is_eof():
            # The new message stands for an error of the parser.
            self._body.set_exception(web.RequestPayloadError('invalid body'))
        if begun:
            self._unanswered += begun
            self._begin_body(self._head_bytes + len(piece))
        elif reads_body:
            self._count_body(len(piece))
        else:
            self._count_head(len(piece))

    def _begin_body(self, head_bytes):
        self._mark_if_read()
        self._head_bytes = 0
        self.ledger.hold(self, _Holding.HEAD, head_bytes * CALL_HEAD_COPIES)
        message, self._body = self._messages[-1]
        self._body_bytes = 0
        self._body_left = None
        self._answered = False
        length = getattr(message, 'headers', {}).get('Content-Length', '')
        if length.isdecimal() and not self._body.is_eof():
            self._body_left = int(length)

    def _count_body(self, size):
        if self._body_left is not None:
            self._body_left -= size
        self._body_bytes += size
        if self._body_bytes - self._marked_bytes >= (
            client_ledger.PROGRESS_BYTES
        ):
            self._mark(self._body_bytes)
        if self._answered:
            # It is read and ignored.
            return
        self.ledger.hold(self, _Holding.UPLOAD, self._body_bytes * BODY_COPIES)
        if not self.ledger.admits_upload(self) and not self._body.is_eof():
            if self.refuse_upload is None:
                self.drop(client_ledger.Closing.NO_ROOM)
            else:
                self.refuse_upload()
                self._answered = True

    def _count_head(self, size):
        if not self._head_bytes:
            self._mark(0)
        self._head_bytes += size
        self.ledger.hold(self, _Holding.HEAD, self._head_bytes * HEAD_COPIES)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.ledger.record_closing(client_ledger.Closing.HEAD_TOO_LARGE)
            if not self._unsent():
                self._open_transport.write(_TOO_LARGE)
            self.force_close()
        elif not self.ledger.make_room(0):
            self.drop(client_ledger.Closing.NO_ROOM)

    def _hold_ahead(self):
        """Stop reading while more than enough was sent ahead."""
        self.ledger.hold(self, _Holding.AHEAD, len(self._ahead))
        holds = len(self._ahead) >= self.ledger.limits.ahead_bytes
        if holds == self._holds_reading:
            return
        self._holds_reading = holds
        if holds:
            self._pause_transport_reading()
        elif not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    # Answers.

    def _end_answer(self):
        self._answered = True
        self._unanswered -= 1
        self.refuse_upload = None
        self.ledger.end_request(self)
        if self._open_transport is None:
            return
        self._mark_if_read()
        if self._open_transport.get_write_buffer_size():
            self._unread_timer.start()
        # The next request may be parsed once aiohttp has ended this one.
        self._loop.call_soon(self._feed)

    def _is_unread(self):
        transport = self._open_transport
        if transport is None:
            return False
        if self._paused or self._ahead:
            return self._unsent() > client_ledger.PROGRESS_BYTES
        return not self._unanswered and transport.get_write_buffer_size() > 0

    def _unsent(self):
        """Return the bytes of answers that the client has not taken."""
        return sockets.unsent_bytes(self._open_transport)

    def _look_for_unread(self):
        """Return what the UnreadTimer asks for."""
        waits = self._paused or self._open_transport.get_write_buffer_size()
        return self._marked_s, self._unsent() if waits else 0

    def _mark_if_read(self):
        """Record progress unless the client leaves answers unread."""
        unsent = self._unsent()
        if unsent <= client_ledger.PROGRESS_BYTES:
            self._mark(unsent)

    def _mark(self, size):
        """Record progress, and the bytes that later progress counts from."""
        self._marked_s = self._loop.time()
        self._marked_bytes = size
