"""An HTTP listener that can be stopped without cutting off answers."""

import asyncio
import collections.abc
import dataclasses
import errno
import socket

from aiohttp import web

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.utils import client_connection
from bulrushrudder.utils import client_ledger
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import http_log
from bulrushrudder.utils import tasks
from bulrushrudder.utils import timeouts

SHUTDOWN_TIMEOUT_S = 1.0
MAX_FIELD_BYTES = 8190
# Time after an answer with "Connection: close" in which requests that are
# on their way still get an answer.
LINGER_S = 0.5
# A request that has just been read starts its handler within this time.
CLOSE_DELAY_S = 0.01
FLUSH_POLL_INTERVAL_S = 0.01
# Errors of accept() that last until descriptors or memory are freed.
EXHAUSTED_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
ACCEPT_RETRY_DELAY_S = 1.0
# Between two looks whether there is room for connections again.
ACCEPT_PAUSE_S = 0.05
OVERLOAD_RETRY_S = 1
# Key of a request that came after its caller was told that the connection
# will be closed.
CLOSE_ANNOUNCED = 'close announced'


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionTimeouts:
    """Timeouts of the connections of a listener.

    :param header_s: seconds that a peer may take to send the headers of
        the first request on a connection.
    :param idle_s: seconds between an answer and the next request after
        which the connection is closed.
    """

    header_s: float = 10.0
    idle_s: float = 75.0


DEFAULT_TIMEOUTS = ConnectionTimeouts()


def refuse_overload(request):
    """Return the response to a request that there is no room for."""
    return web.json_response(
        {'problem': 'too many calls at once; this one has not run'},
        status=503,
        headers={'Retry-After': str(OVERLOAD_RETRY_S)},
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """How a listener treats its connections.

    :param cancel_handlers: whether a handler is cancelled when its caller
        disconnects.
    :param get_timeouts: function that returns the ConnectionTimeouts in
        force.
    :param closes_connections: function that returns whether callers are
        told to connect elsewhere after their answer.
    :param shutdown_timeout_s: seconds that pending answers may take when
        the exit stack closes.
    :param decompresses_bodies: whether request bodies with a content
        encoding are decoded.
    :param max_field_bytes: size above which a header field or a request
        line is malformed.
    :param limits: the ClientLimits; None for those of an unknown VM.
    :param refuse_overload: function of a request that returns the response
        if there is no room for it.
    """

    cancel_handlers: bool = False
    get_timeouts: collections.abc.Callable = lambda: DEFAULT_TIMEOUTS
    closes_connections: collections.abc.Callable = lambda: False
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S
    decompresses_bodies: bool = True
    max_field_bytes: int = MAX_FIELD_BYTES
    limits: client_limits.ClientLimits | None = None
    refuse_overload: collections.abc.Callable = refuse_overload


DEFAULT_OPTIONS = Options()


class HttpListener:
    """Accepts connections for an aiohttp application.

    :param application: the aiohttp application.
    :param options: the Options.
    :ivar port: the port number; None before open().
    :ivar ledger: the Ledger of its connections.
    """

    def __init__(self, application, options):
        self.port = None
        limits = options.limits or client_limits.derive()
        self.ledger = client_ledger.Ledger(limits)
        self._handler_options = _handler_options(options)
        self._timers = _ConnectionTimers(options)
        self._runner = _make_runner(application, options)
        application.middlewares.insert(0, self._timers.time_request)
        application.on_response_prepare.append(self._timers.announce_close)
        application.on_response_prepare.append(client_connection.hold_answer)
        self._sockets = []
        self._accepting = set()

    async def open(self, stack, address):
        """Listen until the exit stack closes.

        :param stack: an AsyncExitStack that owns the listener.
        :param address: a config Address; with port 0, any free port is
            used.
        """
        await self._runner.setup()
        stack.push_async_callback(self._runner.cleanup)
        stack.callback(self._close_sockets)
        for info in socket.getaddrinfo(
            address.host,
            address.port,
            type=socket.SOCK_STREAM,
            flags=socket.AI_PASSIVE,
        ):
            opened = _listen(info, self.ledger.limits)
            self._sockets.append(opened)
            self._watch(opened)
        self.port = self._sockets[0].getsockname()[1]

    async def stop_accepting(self):
        """Refuse new connections.

        Connections that the kernel has established are accepted first, as
        their callers may have sent a request.
        """
        for opened in self._sockets:
            self._accept(opened)
        self._close_sockets()
        if self._accepting:
            await asyncio.wait(self._accepting)

    def close_idle(self):
        """Close the connections that wait for a further request."""
        self._timers.close_idle()

    async def flush(self, timeout_s):
        """Wait until callers have taken the answers.

        :param timeout_s: longest wait in seconds.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while loop.time() < until_s and any(
            _has_unsent_data(protocol)
            for protocol in self._runner.server.connections
        ):
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    def abort(self):
        """Close all connections; what callers have not taken is lost."""
        for protocol in self._runner.server.connections:
            if protocol.transport is not None:
                protocol.transport.abort()

    def _accept(self, opened):
        """Accept the connections that are established at a socket."""
        for number in range(self.ledger.limits.backlog):
            if not self.ledger.admits_connection(len(self._accepting)):
                if not number:
                    self._make_room(opened)
                return
            try:
                connection, _ = opened.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.emit(catalogue.UNEXPECTED, detail=f'accept: {error!r}')
                if error.errno in EXHAUSTED_ERRORS:
                    self._accept_later(opened, ACCEPT_RETRY_DELAY_S)
                    return
                continue
            connection.setblocking(False)
            self._serve(connection)

    def _make_room(self, opened):
        """Make room for a connection that waits; accept it later."""
        self.ledger.make_room_for_connection()
        self._accept_later(opened, ACCEPT_PAUSE_S)

    def _accept_later(self, opened, delay_s):
        loop = asyncio.get_running_loop()
        loop.remove_reader(opened)
        loop.call_later(delay_s, self._watch, opened)

    def _watch(self, opened):
        if opened in self._sockets:
            loop = asyncio.get_running_loop()
            loop.add_reader(opened, self._accept, opened)

    def _serve(self, connection):
        loop = asyncio.get_running_loop()
        accepting = loop.create_task(
            loop.connect_accepted_socket(
                lambda: self._timers.connect(self._make_connection()),
                connection,
            )
        )
        self._accepting.add(accepting)
        accepting.add_done_callback(self._accepting.discard)
        accepting.add_done_callback(tasks.log_exception)

    def _make_connection(self):
        return client_connection.ClientConnection(
            self._runner.server,
            self.ledger,
            self._timers.forget,
            **self._handler_options,
        )

    def _close_sockets(self):
        loop = asyncio.get_running_loop()
        for opened in self._sockets:
            loop.remove_reader(opened)
            opened.close()
        self._sockets = []


def _make_runner(application, options):
    return web.AppRunner(
        application,
        handler_cancellation=options.cancel_handlers,
        shutdown_timeout=options.shutdown_timeout_s,
        **_handler_options(options),
    )


def _handler_options(options):
    """Return the options of a RequestHandler."""
    return {
        'access_log': None,
        'logger': http_log.LOGGER,
        'max_line_size': options.max_field_bytes,
        'max_field_size': options.max_field_bytes,
        'auto_decompress': options.decompresses_bodies,
    }


def _listen(info, limits):
    """Return a listening socket for an entry of getaddrinfo.

    :param limits: the ClientLimits.
    """
    family, kind, protocol, _, address = info
    opened = socket.socket(family, kind, protocol)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit their buffers.
        for option, size in (
            (socket.SO_RCVBUF, limits.receive_buffer_bytes),
            (socket.SO_SNDBUF, limits.send_buffer_bytes),
        ):
            opened.setsockopt(socket.SOL_SOCKET, option, size)
        if family == socket.AF_INET6:
            opened.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        opened.bind(address)
        opened.listen(limits.backlog)
        opened.setblocking(False)
    except OSError:
        opened.close()
        raise
    return opened


def _has_unsent_data(protocol):
    transport = protocol.transport
    # aiohttp drops the transport when it closes one; the connection is
    # counted until everything is sent.
    return transport is None or protocol.has_unsent_data()


class _ConnectionTimers:
    """Closes connections that send no headers in time or stay idle.

    :param options: the Options.
    """

    def __init__(self, options):
        self._get_timeouts = options.get_timeouts
        self._closes_connections = options.closes_connections
        self._refuse_overload = options.refuse_overload
        self._timers_by_protocol = {}
        self._idle = set()
        # Connections whose callers were told that they will be closed.
        self._announced = set()

    def connect(self, protocol):
        """Start the timer of a new connection; return its protocol."""
        header_s = self._get_timeouts().header_s
        self._start(protocol, header_s, self._close_without_headers)
        return protocol

    def forget(self, protocol):
        """Drop what is kept of a connection that is closed."""
        self._stop(protocol)
        self._announced.discard(protocol)

    @web.middleware
    async def time_request(self, request, handler):
        """Stop the timer of a connection while a request is handled."""
        protocol = request.protocol
        self._stop(protocol)
        request[CLOSE_ANNOUNCED] = protocol in self._announced
        try:
            if not protocol.admit_request():
                refused = self._refuse_overload(request)
                if protocol.sends_ahead:
                    refused.force_close()
                return refused
            return await handler(request)
        finally:
            if protocol.transport is not None and request.keep_alive:
                self._wait_idle(protocol)

    async def announce_close(self, request, response):
        """Tell a caller that its connection will be closed.

        aiohttp keeps the connection, so that requests which are on their
        way can be refused until the timer closes it. They must not be
        served, as callers may have left by then.
        """
        if self._closes_connections():
            response.headers['Connection'] = 'close'
            self._announced.add(request.protocol)

    def close_idle(self):
        """Close the connections that get no further request soon."""
        for protocol in tuple(self._idle):
            self._wait_idle(protocol)

    def _wait_idle(self, protocol):
        """Close a connection if its next request does not come in time."""
        idle_s = self._get_timeouts().idle_s
        if self._closes_connections():
            idle_s = LINGER_S
        self._start(protocol, idle_s, self._close_if_taken)
        self._idle.add(protocol)

    def _close_if_taken(self, protocol):
        """Close a connection once its caller has taken the answer."""
        transport = protocol.transport
        if transport is not None and transport.get_write_buffer_size():
            self._wait_idle(protocol)
        else:
            self._close(protocol)

    def _start(self, protocol, delay_s, expire):
        self._stop(protocol)
        timer = timeouts.RunningTimer(delay_s, lambda: expire(protocol))
        self._timers_by_protocol[protocol] = timer

    def _stop(self, protocol):
        self._idle.discard(protocol)
        timer = self._timers_by_protocol.pop(protocol, None)
        if timer is not None:
            timer.cancel()

    def _close_without_headers(self, protocol):
        if protocol.transport is not None:
            log.emit(
                catalogue.HTTP_INVALID,
                detail='request headers did not arrive in time',
            )
        self._close(protocol)

    def _close(self, protocol):
        """Close a connection unless a request has just been read.

        close() lets a handler that is about to start answer its request,
        and takes no further one.
        """
        protocol.close()
        self._start(protocol, CLOSE_DELAY_S, self._force_close)

    def _force_close(self, protocol):
        """Close a connection; what is still unsent is sent first."""
        self._stop(protocol)
        self._announced.discard(protocol)
        if protocol.transport is not None:
            protocol.force_close()
