"""Common parts of all HTTP listeners."""

from aiohttp import web

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.utils import http_listener

# A parsed value, with what a table or a list adds for it.
VALUE_BYTES = 128
_PRESERVED_HEADERS = frozenset({'Allow', 'Retry-After'})


async def listen(
    stack, application, address, options=http_listener.DEFAULT_OPTIONS
):
    """Serve an application until the exit stack closes.

    :param stack: an AsyncExitStack that owns the listener.
    :param address: a config Address; with port 0, any free port is used.
    :param options: the Options of the listener.
    :returns: the port number.
    """
    opened = http_listener.HttpListener(application, options)
    await opened.open(stack, address)
    return opened.port


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


def max_parsed_bytes(body):
    """Return how many bytes a JSON body takes at most once it is parsed.

    :param body: bytes; each comma or bracket outside of texts stands for a
        value, those inside of them count as well.
    """
    values = sum(map(body.count, (b',', b'[', b'{')))
    return len(body) + VALUE_BYTES * values


def format_first_error(error):
    """Return the first error of a pydantic ValidationError as text."""
    first = error.errors(include_url=False, include_input=False)[0]
    field = '.'.join(map(str, first['loc']))
    return f'{field}: {first["msg"]}' if field else first['msg']
