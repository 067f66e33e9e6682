"""Where metrics are read."""

from aiohttp import web


def application(metrics):
    """Return an aiohttp application that shows the metrics."""

    async def show(request):
        accept = request.headers.getall('Accept', [])
        content, headers = metrics.render(accept)
        return web.Response(body=content, headers=headers)

    app = web.Application()
    app.router.add_get('/metrics', show)
    return app
