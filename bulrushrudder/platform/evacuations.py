"""HTTP API for the platform's operator to evacuate zones."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from bulrushrudder.control import zone_orders
from bulrushrudder.core import ids
from bulrushrudder.state import evacuations
from bulrushrudder.state import results

# Orders have no body. One that comes nevertheless is read within these
# bounds so that the connection can be reused, and ignored.
MAX_BODY_BYTES = 64 * 1024
BODY_TIMEOUT_S = 0.2


class EvacuationApi:
    """Handles orders to evacuate zones and to restore them.

    :param node: the Node of this control process.
    :param operator: name of the platform's operator in the log.
    """

    def __init__(self, node, operator):
        self._orders = zone_orders.ZoneOrders(node)
        self._operator = operator

    def routes(self, prefix):
        """Return the aiohttp routes.

        :param prefix: path of the platform's interface.
        """
        base = f'{prefix}/evacuations'
        return [
            route(path, handler)
            for path in (base, f'{base}/{{zone:.*}}')
            for route, handler in (
                (web.post, self._evacuate),
                (web.delete, self._restore),
            )
        ]

    async def _evacuate(self, request):
        return await self._handle(request, self._orders.evacuate)

    async def _restore(self, request):
        return await self._handle(request, self._orders.restore)

    async def _handle(self, request, order):
        await _skip_body(request)
        zone = request.match_info.get('zone', '')
        if not evacuations.is_zone_name(zone):
            return _problem(400, evacuations.EXPECTED_NAME)
        match await order(ids.Zone(zone), self._operator):
            case results.Accepted(index=index):
                return web.json_response({'zone': zone, 'index': index})
        return _problem(503, 'no quorum accepted the order')


async def _skip_body(request):
    size = 0
    with contextlib.suppress(
        TimeoutError, aiohttp.ClientPayloadError, web.RequestPayloadError
    ):
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while size < MAX_BODY_BYTES:
                data = await request.content.readany()
                if not data:
                    return
                size += len(data)


def _problem(status, problem):
    return web.json_response({'problem': problem}, status=status)
