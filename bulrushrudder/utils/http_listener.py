"""An HTTP listener that can be stopped without cutting off answers."""

import asyncio
import collections.abc
import dataclasses

from aiohttp import web

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.utils import acceptor
from bulrushrudder.utils import client_connection
from bulrushrudder.utils import client_ledger
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import http_log
from bulrushrudder.utils import timeouts

SHUTDOWN_TIMEOUT_S = 1.0
MAX_FIELD_BYTES = 8190
# Time after an answer with "Connection: close" in which requests that are
# on their way still get an answer.
LINGER_S = 0.5
# A request that has just been read starts its handler within this time.
CLOSE_DELAY_S = 0.01
FLUSH_POLL_INTERVAL_S = 0.01
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
    :param ledger: the Ledger that counts what its connections hold; None
        for one of its own, with these limits.
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
    ledger: client_ledger.Ledger | None = None
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
        self.ledger = options.ledger or client_ledger.Ledger(
            options.limits or client_limits.derive()
        )
        limits = self.ledger.limits
        self._handler_options = _handler_options(options)
        self._timers = _ConnectionTimers(options)
        self._runner = _make_runner(application, options)
        application.middlewares.insert(0, self._timers.time_request)
        application.on_response_prepare.append(self._timers.announce_close)
        application.on_response_prepare.append(client_connection.hold_answer)
        buffers = acceptor.Buffers(
            limits.receive_buffer_bytes,
            limits.send_buffer_bytes,
            limits.backlog,
        )
        self._acceptor = acceptor.Acceptor(
            buffers,
            self.ledger,
            lambda: self._timers.connect(self._make_connection()),
        )

    async def open(self, stack, address):
        """Listen until the exit stack closes.

        :param stack: an AsyncExitStack that owns the listener.
        :param address: a config Address; with port 0, any free port is
            used.
        """
        await self._runner.setup()
        stack.push_async_callback(self._runner.cleanup)
        stack.callback(self._acceptor.close)
        self.port = self._acceptor.open(address)

    async def stop_accepting(self):
        """Refuse new connections.

        Connections that the kernel has established are accepted first, as
        their callers may have sent a request.
        """
        await self._acceptor.finish()

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

    def _make_connection(self):
        return client_connection.ClientConnection(
            self._runner.server,
            self.ledger,
            self._timers.forget,
            **self._handler_options,
        )


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
        # The write buffer may be empty between two pieces of an answer.
        if protocol.transport is not None and protocol.has_unsent_data():
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
