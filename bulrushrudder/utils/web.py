"""What all HTTP listeners of a process share."""

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
    headers_s=HEADER_TIMEOUT_S,
    finish_s=SHUTDOWN_TIMEOUT_S,
):
    """Serve an application until the exit stack closes.

    :param stack: an AsyncExitStack that owns the listener.
    :param address: a config Address; port 0 takes any free one.
    :param cancel_handlers: whether a gone caller cancels its handler.
    :param headers_s: seconds that a peer may take for the headers of
        its first request.
    :param finish_s: seconds that answers under way may take when the
        exit stack closes.
    :returns: the port that is listened on.
    """
    header_timeouts = _HeaderTimeouts(headers_s)
    application.middlewares.insert(0, header_timeouts.complete_headers)
    runner = web.AppRunner(
        application,
        access_log=None,
        logger=_HTTP_LOGGER,
        handler_cancellation=cancel_handlers,
        keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
        shutdown_timeout=finish_s,
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
    """Closes connections whose peer does not finish its headers."""

    def __init__(self, headers_s):
        self._timeout_s = headers_s
        self._timers_by_protocol = {}

    def start_timer(self, protocol):
        """Watch a new connection and return its protocol."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._timeout_s, self._expire, protocol)
        self._timers_by_protocol[protocol] = timer
        return protocol

    @web.middleware
    async def complete_headers(self, request, handler):
        """Take note that the headers of a request are whole."""
        timer = self._timers_by_protocol.pop(request.protocol, None)
        if timer is not None:
            timer.cancel()
        return await handler(request)

    def _expire(self, protocol):
        del self._timers_by_protocol[protocol]
        if protocol.transport is not None:
            log.emit(catalogue.HTTP_INVALID, detail='slow headers')
            protocol.force_close()


class _HttpErrorHandler(logging.Handler):
    """Logs what aiohttp complains of, without the bytes of the peer."""

    def emit(self, record):
        """Log the kind of one complaint."""
        exception = record.exc_info[1] if record.exc_info else None
        detail = type(exception).__name__ if exception else 'complaint'
        log.emit(catalogue.HTTP_INVALID, detail=detail)


def _make_http_logger():
    logger = logging.Logger('bulrushrudder.http', logging.WARNING)
    logger.addHandler(_HttpErrorHandler())
    return logger


_HTTP_LOGGER = _make_http_logger()


@web.middleware
async def json_errors(request, handler):
    """Answer every failed call with a JSON object that names the problem."""
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


def first_error(error):
    """Return the first mistake of a pydantic ValidationError as a sentence."""
    first = error.errors(include_url=False, include_input=False)[0]
    field = '.'.join(map(str, first['loc']))
    return f'{field}: {first["msg"]}' if field else first['msg']
