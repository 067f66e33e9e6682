"""Common parts of all HTTP listeners."""

import asyncio
import dataclasses
import logging

from aiohttp import web

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.utils import timeouts

SHUTDOWN_TIMEOUT_S = 1.0
MAX_FIELD_BYTES = 8190

_PRESERVED_HEADERS = frozenset({'Allow', 'Retry-After'})


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


async def listen(
    stack,
    application,
    address,
    cancel_handlers=False,
    get_timeouts=lambda: DEFAULT_TIMEOUTS,
    shutdown_timeout_s=SHUTDOWN_TIMEOUT_S,
    decompresses_bodies=True,
    max_field_bytes=MAX_FIELD_BYTES,
):
    """Serve an application until the exit stack closes.

    :param stack: an AsyncExitStack that owns the listener.
    :param address: a config Address; with port 0, any free port is used.
    :param cancel_handlers: whether a handler is cancelled when its caller
        disconnects.
    :param get_timeouts: function that returns the ConnectionTimeouts in
        force.
    :param shutdown_timeout_s: seconds that pending answers may take when
        the exit stack closes.
    :param decompresses_bodies: whether request bodies with a content
        encoding are decoded.
    :param max_field_bytes: size above which a header field or a request
        line is malformed.
    :returns: the port number.
    """
    timers = _ConnectionTimers(get_timeouts)
    application.middlewares.insert(0, timers.time_request)
    runner = web.AppRunner(
        application,
        access_log=None,
        logger=_HTTP_LOGGER,
        handler_cancellation=cancel_handlers,
        shutdown_timeout=shutdown_timeout_s,
        max_line_size=max_field_bytes,
        max_field_size=max_field_bytes,
        auto_decompress=decompresses_bodies,
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: timers.connect(runner.server()),
        address.host,
        address.port,
    )
    stack.callback(server.close)
    return server.sockets[0].getsockname()[1]


class _ConnectionTimers:
    """Closes connections that send no headers in time or stay idle.

    :param get_timeouts: returns the ConnectionTimeouts in force.
    """

    def __init__(self, get_timeouts):
        self._get_timeouts = get_timeouts
        self._timers_by_protocol = {}

    def connect(self, protocol):
        """Start the timer of a new connection; return its protocol."""
        header_s = self._get_timeouts().header_s
        self._start(protocol, header_s, self._close_without_headers)
        return protocol

    @web.middleware
    async def time_request(self, request, handler):
        """Stop the timer of a connection while a request is handled."""
        protocol = request.protocol
        self._stop(protocol)
        try:
            return await handler(request)
        finally:
            if protocol.transport is not None and request.keep_alive:
                idle_s = self._get_timeouts().idle_s
                self._start(protocol, idle_s, self._close_idle)

    def _start(self, protocol, delay_s, expire):
        self._stop(protocol)
        timer = timeouts.RunningTimer(delay_s, lambda: expire(protocol))
        self._timers_by_protocol[protocol] = timer

    def _stop(self, protocol):
        timer = self._timers_by_protocol.pop(protocol, None)
        if timer is not None:
            timer.cancel()

    def _close_without_headers(self, protocol):
        del self._timers_by_protocol[protocol]
        if protocol.transport is not None:
            log.emit(
                catalogue.HTTP_INVALID,
                detail='request headers did not arrive in time',
            )
            protocol.force_close()

    def _close_idle(self, protocol):
        """Close a connection; what is still unsent is sent first."""
        del self._timers_by_protocol[protocol]
        if protocol.transport is not None:
            protocol.force_close()


class _HttpErrorHandler(logging.Handler):
    """Logs warnings and errors of aiohttp without data from the peer."""

    def emit(self, record):
        """Log the exception type of a record."""
        exception = record.exc_info[1] if record.exc_info else None
        detail = (
            type(exception).__name__
            if exception
            else 'HTTP error without an exception'
        )
        log.emit(catalogue.HTTP_INVALID, detail=detail)


def _make_http_logger():
    logger = logging.Logger('bulrushrudder.http', logging.WARNING)
    logger.addHandler(_HttpErrorHandler())
    return logger


_HTTP_LOGGER = _make_http_logger()


@web.middleware
async def json_errors(request, handler):
    """Turn exceptions into JSON answers with a ``problem``."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        headers = {
            name: value
            for name, value in error.headers.items()
            if name in _PRESERVED_HEADERS
        }
        return web.json_response(
            {'problem': error.text or error.reason},
            status=error.status,
            headers=headers,
        )
    except Exception as error:
        log.emit(catalogue.UNEXPECTED, detail=repr(error))
        return web.json_response({'problem': 'internal error'}, status=500)


def format_first_error(error):
    """Return the first error of a pydantic ValidationError as text."""
    first = error.errors(include_url=False, include_input=False)[0]
    field = '.'.join(map(str, first['loc']))
    return f'{field}: {first["msg"]}' if field else first['msg']
