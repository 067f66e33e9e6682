"""HTTP endpoint for metrics."""

from aiohttp import web


def application(metrics):
    """Return an aiohttp application that exposes metrics."""

    async def show(request):
        accept = request.headers.getall('Accept', [])
        content, headers = metrics.render(accept)
        return web.Response(body=content, headers=headers)

    app = web.Application()
    app.router.add_get('/metrics', show)
    return app
