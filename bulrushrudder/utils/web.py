"""Starting and stopping aiohttp listeners."""

from aiohttp import web


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
