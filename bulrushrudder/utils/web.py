"""Common parts of all HTTP listeners."""

import asyncio
import logging

from aiohttp import web

from bulrushrudder.events import catalogue
from bulrushrudder.events import log

HEADER_TIMEOUT_S = 10.0
KEEP_ALIVE_TIMEOUT_S = 75.0
SHUTDOWN_TIMEOUT_S = 1.0

_PRESERVED_HEADERS = frozenset({'Allow', 'Retry-After'})


async def listen(
    stack,
    application,
    address,
    cancel_handlers=False,
    header_timeout_s=HEADER_TIMEOUT_S,
    shutdown_timeout_s=SHUTDOWN_TIMEOUT_S,
):
    """Serve an application until the exit stack closes.

    :param stack: an AsyncExitStack that owns the listener.
    :param address: a config Address; with port 0, any free port is used.
    :param cancel_handlers: whether a handler is cancelled when its caller
        disconnects.
    :param header_timeout_s: seconds that a peer may take to send the
        headers of the first request on a connection.
    :param shutdown_timeout_s: seconds that pending answers may take when
        the exit stack closes.
    :returns: the port number.
    """
    header_timeouts = _HeaderTimeouts(header_timeout_s)
    application.middlewares.insert(0, header_timeouts.complete_headers)
    runner = web.AppRunner(
        application,
        access_log=None,
        logger=_HTTP_LOGGER,
        handler_cancellation=cancel_handlers,
        keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
        shutdown_timeout=shutdown_timeout_s,
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: header_timeouts.start_timer(runner.server()),
        address.host,
        address.port,
    )
    stack.callback(server.close)
    return server.sockets[0].getsockname()[1]


class _HeaderTimeouts:
    """Closes connections whose first headers don't arrive in time."""

    def __init__(self, header_timeout_s):
        self._timeout_s = header_timeout_s
        self._timers_by_protocol = {}

    def start_timer(self, protocol):
        """Start the timer of a new connection; return its protocol."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._timeout_s, self._expire, protocol)
        self._timers_by_protocol[protocol] = timer
        return protocol

    @web.middleware
    async def complete_headers(self, request, handler):
        """Stop the timer of a connection, as its headers are complete."""
        timer = self._timers_by_protocol.pop(request.protocol, None)
        if timer is not None:
            timer.cancel()
        return await handler(request)

    def _expire(self, protocol):
        del self._timers_by_protocol[protocol]
        if protocol.transport is not None:
            log.emit(
                catalogue.HTTP_INVALID,
                detail='request headers did not arrive in time',
            )
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
