"""What all HTTP listeners of a process share."""

from aiohttp import web

from bulrushrudder.events import catalogue
from bulrushrudder.events import log


async def listen(stack, application, address, cancel_handlers=False):
    """Serve an application until the exit stack closes.

    :param stack: an AsyncExitStack that owns the listener.
    :param address: a config Address; port 0 takes any free one.
    :param cancel_handlers: whether a gone caller cancels its handler.
    :returns: the port that is listened on.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=cancel_handlers,
        shutdown_timeout=1.0,
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, address.host, address.port)
    await site.start()
    return runner.addresses[0][1]


@web.middleware
async def json_errors(request, handler):
    """Answer every failed call with a JSON object that names the problem."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        return web.json_response(
            {'problem': error.text or error.reason}, status=error.status
        )
    except Exception as error:
        log.emit(catalogue.UNEXPECTED, detail=repr(error))
        return web.json_response({'problem': 'internal error'}, status=500)


def first_error(error):
    """Return the first mistake of a pydantic ValidationError as a sentence."""
    first = error.errors(include_url=False, include_input=False)[0]
    field = '.'.join(map(str, first['loc']))
    return f'{field}: {first["msg"]}' if field else first['msg']
