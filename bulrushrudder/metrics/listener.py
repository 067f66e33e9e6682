"""HTTP endpoint for metrics."""

from aiohttp import web

from bulrushrudder.utils import client_limits
from bulrushrudder.utils import http_listener
from bulrushrudder.utils import web as web_utils


async def listen(stack, metrics, address, vm):
    """Serve metrics until the exit stack closes.

    :param stack: an AsyncExitStack that owns the listener.
    :param metrics: the metrics, with a method render.
    :param address: a config Address.
    :param vm: the VmLimits of the settings.
    """
    limits = client_limits.of_vm(vm, client_limits.METRICS_SHARE)
    options = http_listener.Options(limits=limits)
    await web_utils.listen(stack, application(metrics), address, options)


def application(metrics):
    """Return an aiohttp application that exposes metrics."""

    async def show(request):
        accept = request.headers.getall('Accept', [])
        content, headers = metrics.render(accept)
        return web.Response(body=content, headers=headers)

    app = web.Application()
    app.router.add_get('/metrics', show)
    return app
