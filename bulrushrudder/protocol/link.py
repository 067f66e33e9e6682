"""Links between processes: framed messages over TCP.

Both ends prove that they know the cluster secret. While a request is
pending, heartbeats check that the peer is alive; a link whose peer is
silent is closed even if its socket is still open.
"""

import asyncio
import contextlib
import socket

from returns import result

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import errors
from bulrushrudder.protocol import frames
from bulrushrudder.protocol import handshake_room
from bulrushrudder.protocol import handshakes
from bulrushrudder.protocol import liveness
from bulrushrudder.protocol import messages
from bulrushrudder.protocol import tunnel_messages
from bulrushrudder.utils import acceptor
from bulrushrudder.utils import client_limits

CHECK_INTERVAL_S = 0.25
SHORT_CHECK_INTERVAL_S = 0.1
TCP_KEEPALIVE_IDLE_S = 30
HANDSHAKE_TIMEOUT_S = 2.0
SHORT_CONNECT_TIMEOUT_S = 0.7
MAX_HANDSHAKE_BYTES = 1024
MAX_UNSENT_BYTES = 32 * 1024 * 1024


class InvalidMessageError(Exception):
    """The peer sent bytes that are not a valid message."""


class Link:
    """One connection to another process.

    :param owner: this process.
    :param handler: coroutine function of (link, message); for a Request
        it returns the response, or None for no response.
    :param monitor_when_idle: whether to close the link to a silent peer
        also while no request is pending.
    :param short_timeouts: whether to use the shorter heartbeat and
        silence timeouts.
    :ivar peer: the Owner at the other end, None before the handshake.
    :ivar closed: event that is set once the link is closed.
    :ivar requests: number of requests of the peer without a response.
    :ivar piece_s: monotonic seconds at which the last piece of a large
        message arrived that is not complete yet, or negative infinity.
    """

    def __init__(
        self,
        reader,
        writer,
        owner,
        handler,
        monitor_when_idle=False,
        short_timeouts=False,
    ):
        self._reader = reader
        self._writer = writer
        self._owner = owner
        self._handler = handler
        self._pending_by_call = {}
        self._last_call = 0
        self._tasks = set()
        self._check_interval_s = CHECK_INTERVAL_S
        self._liveness = liveness.Liveness(monitor_when_idle, _now_s())
        if short_timeouts:
            self._check_interval_s = SHORT_CHECK_INTERVAL_S
            self._liveness = liveness.Liveness(
                monitor_when_idle,
                _now_s(),
                liveness.SHORT_HEARTBEAT_INTERVAL_S,
                liveness.SHORT_SILENCE_TIMEOUT_S,
            )
        self._ended = False
        self.peer = None
        self.closed = asyncio.Event()
        self.requests = 0
        self.piece_s = float('-inf')

    async def handshake(self, secret, dialled):
        """Check the protocol version and the cluster secret of the peer.

        :param secret: the cluster secret.
        :param dialled: whether this end opened the connection.
        :returns: the link, or a LinkError.
        """
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                shaken = await handshakes.authenticate(
                    self, self._owner, secret, dialled
                )
        except (
            TimeoutError,
            OSError,
            EOFError,
            InvalidMessageError,
        ) as error:
            shaken = result.Failure(f'handshake failed: {error!r}')
        match shaken:
            case result.Success(peer):
                self.peer = peer
                return result.Success(self)
        problem = shaken.failure()
        log.emit(catalogue.LINK_REFUSED, detail=problem)
        self.close()
        return result.Failure(
            errors.LinkError(errors.LinkProblem.REFUSED, problem, False)
        )

    def send(self, message):
        """Send a one-way message.

        Close the link if the peer has fallen too far behind in reading.

        :returns: whether the message was queued for sending.
        """
        return self._queue(message) is None

    def _queue(self, message):
        """Queue a message for sending.

        :returns: None, or the LinkProblem that prevented it.
        """
        if self.closed.is_set() or self._ended:
            return errors.LinkProblem.CLOSED
        body = codec.encode(message)
        if len(body) > frames.MAX_FRAME_BYTES:
            log.emit(
                catalogue.MESSAGE_TOO_LARGE,
                peer=str(self.peer),
                message=type(message).__name__,
                size=len(body),
            )
            return errors.LinkProblem.MESSAGE_TOO_LARGE
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return errors.LinkProblem.CLOSED
        self._writer.write(frames.pack(body))
        return None

    @property
    def has_room(self):
        """Return whether few bytes wait for the peer to read."""
        transport = self._writer.transport
        _, high_bytes = transport.get_write_buffer_limits()
        return transport.get_write_buffer_size() <= high_bytes

    async def wait_for_room(self):
        """Wait until few bytes wait for the peer; close a broken link."""
        try:
            await self._writer.drain()
        except OSError:
            self.close()

    async def ask(self, message, timeout_s):
        """Send a request and wait for its response.

        :param timeout_s: seconds to wait for the response.
        :returns: the response, or a LinkError.
        """
        self._last_call += 1
        call = self._last_call
        future = asyncio.get_running_loop().create_future()
        self._pending_by_call[call] = future
        problem = self._queue(messages.Request(call, codec.encode(message)))
        if problem is not None:
            self._pending_by_call.pop(call, None)
            return _failure(problem, f'not sent: {problem.value}', False)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return _failure(
                errors.LinkProblem.TIMEOUT,
                f'timeout: no response within {timeout_s} s',
                True,
            )
        finally:
            self._pending_by_call.pop(call, None)

    async def receive(self):
        """Return the next message of a link that does not run.

        :raises InvalidMessageError: if it is none.
        :raises OSError: if the link breaks.
        :raises EOFError: if the peer closes the link.
        """
        return await self._read_message(MAX_HANDSHAKE_BYTES)

    async def run(self, serve_tunnel=None):
        """Receive and handle messages until the link closes.

        :param serve_tunnel: coroutine function of the link, an OpenTunnel
            and the link's reader and writer; the link is a tunnel for as
            long as it runs.
        """
        _enable_tcp_keepalive(self._writer)
        self._liveness.record_message(_now_s())
        monitor = asyncio.create_task(self._monitor())
        log.emit(catalogue.LINK_OPENED, peer=str(self.peer))
        reason = 'this process closed the link to the peer'
        try:
            while True:
                message = await self._read_message()
                self._liveness.record_message(_now_s())
                if serve_tunnel and isinstance(
                    message, tunnel_messages.OpenTunnel
                ):
                    monitor.cancel()
                    await serve_tunnel(
                        self, message, self._reader, self._writer
                    )
                    reason = None
                    break
                self._dispatch(message)
        except InvalidMessageError as error:
            reason = f'invalid message: {error}'
            log.emit(catalogue.MESSAGE_INVALID, detail=str(error))
        except (OSError, EOFError) as error:
            reason = reason if self.closed.is_set() else repr(error)
        finally:
            monitor.cancel()
            self.close()
            if reason is not None:
                log.emit(
                    catalogue.LINK_CLOSED, peer=str(self.peer), detail=reason
                )

    def end(self):
        """Send no more; the peer closes the link when it has read all."""
        if not self._ended and not self.closed.is_set():
            self._ended = True
            self._writer.write_eof()

    def close(self):
        """Close the link; pending requests get a LinkError."""
        if self.closed.is_set():
            return
        self.closed.set()
        for future in self._pending_by_call.values():
            if not future.done():
                future.set_result(
                    _failure(
                        errors.LinkProblem.CLOSED,
                        'the link closed before the response came',
                        True,
                    )
                )
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(OSError):
            self._writer.transport.abort()

    def _dispatch(self, message):
        match message:
            case messages.Heartbeat(wants_answer=True):
                self.send(messages.Heartbeat(False))
            case messages.Heartbeat():
                return
            case messages.Response(call=call, body=body):
                self._resolve(call, body)
            case messages.Request(call=call, body=body):
                self._spawn(self._respond(call, _decode(body)))
            case _:
                self._spawn(self._handler(self, message))

    def _resolve(self, call, body):
        future = self._pending_by_call.get(call)
        if future is None or future.done():
            return
        future.set_result(result.Success(_decode(body)))

    async def _respond(self, call, request):
        self.requests += 1
        try:
            response = await self._handler(self, request)
            if response is not None:
                self.send(messages.Response(call, codec.encode(response)))
        finally:
            self.requests -= 1

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            log.emit(catalogue.UNEXPECTED, detail=repr(task.exception()))

    async def _monitor(self):
        """Send heartbeats and close the link if the peer is silent."""
        while True:
            await asyncio.sleep(self._check_interval_s)
            has_pending_requests = bool(self._pending_by_call)
            match self._liveness.check(has_pending_requests, _now_s()):
                case liveness.Action.ASK:
                    self.send(messages.Heartbeat(True))
                case liveness.Action.CLOSE:
                    self.close()
                    return

    async def _read_message(self, max_bytes=frames.MAX_FRAME_BYTES):
        try:
            return _decode(
                await frames.read(self._reader, max_bytes, self._record_piece)
            )
        except frames.InvalidFrameError as error:
            raise InvalidMessageError(str(error)) from error

    def _record_piece(self):
        """Record that a piece of a large message has arrived."""
        self.piece_s = _now_s()
        self._liveness.record_message(self.piece_s)


def _now_s():
    return asyncio.get_running_loop().time()


def _enable_tcp_keepalive(writer):
    """Let the kernel close idle connections whose peer is gone."""
    raw_socket = writer.get_extra_info('socket')
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S
    )


def _decode(data):
    match codec.decode(data):
        case result.Success(message):
            return message
        case result.Failure(error):
            raise InvalidMessageError(error.problem)


def _failure(problem, detail, sent):
    return result.Failure(errors.LinkError(problem, detail, sent))


async def dial(
    address,
    owner,
    secret,
    handler,
    monitor_when_idle=False,
    short_timeouts=False,
):
    """Open a link to another process.

    :param address: a config Address.
    :param owner: this process.
    :param secret: the cluster secret.
    :param handler: serves messages of the peer, see Link.
    :param monitor_when_idle: whether to close the link to a silent peer
        also while no request is pending.
    :param short_timeouts: whether to use the shorter connect, heartbeat
        and silence timeouts.
    :returns: the link after its handshake, or a LinkError; the caller
        awaits its run method.
    """
    try:
        async with asyncio.timeout(
            SHORT_CONNECT_TIMEOUT_S if short_timeouts else HANDSHAKE_TIMEOUT_S
        ):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
    except (TimeoutError, OSError) as error:
        return _failure(errors.LinkProblem.UNREACHABLE, repr(error), False)
    link = Link(
        reader, writer, owner, handler, monitor_when_idle, short_timeouts
    )
    return await link.handshake(secret, True)


async def listen(
    address,
    owner,
    secret,
    handler,
    on_closed=None,
    on_opened=None,
    serve_tunnel=None,
    limits=None,
):
    """Accept links from other processes.

    :param address: a config Address.
    :param owner: this process.
    :param secret: the cluster secret.
    :param handler: serves messages of the peers, see Link.
    :param on_closed: called with each accepted link when it has closed.
    :param on_opened: called with each accepted link after its handshake.
    :param serve_tunnel: as for Link.run.
    :param limits: the ClientLimits; None for those of an unknown VM.
    :returns: the Acceptor.
    """
    limits = limits or client_limits.derive(share=client_limits.INNER_SHARE)
    room = handshake_room.HandshakeRoom(handshake_room.limit_of(limits))

    async def accept(reader, writer):
        link = Link(reader, writer, owner, handler)
        room.begin(link)
        try:
            try:
                handshake = await link.handshake(secret, False)
            finally:
                room.end(link)
                listener.resume()
            if isinstance(handshake, result.Failure):
                return
            if on_opened is not None:
                on_opened(link)
            await link.run(serve_tunnel)
        except asyncio.CancelledError:
            # The process is stopping; asyncio would log the cancelled task.
            link.close()
            return
        if on_closed is not None:
            on_closed(link)

    def make_protocol():
        reader = asyncio.StreamReader(limit=handshake_room.READER_BYTES)
        return asyncio.StreamReaderProtocol(reader, accept)

    listener = acceptor.Acceptor(
        acceptor.Buffers(
            handshake_room.RECEIVE_BUFFER_BYTES, None, handshake_room.BACKLOG
        ),
        room,
        make_protocol,
    )
    listener.open(address)
    return listener
