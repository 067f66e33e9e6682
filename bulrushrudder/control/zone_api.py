"""The part of the operators' interface that is about zones."""

from aiohttp import web

from bulrushrudder.control import changes
from bulrushrudder.control import zone_orders
from bulrushrudder.state import evacuations
from bulrushrudder.state import results

RETRY_AFTER_S = '1'
_ZONE_PATH = '/zones/{zone}'
_EVACUATION_PATH = f'{_ZONE_PATH}/evacuation'


class ZoneApi:
    """Request handlers for zones.

    :param node: the Node of this control process.
    :param operator_of: function that returns the operator's name in a
        request.
    """

    def __init__(self, node, operator_of):
        self._node = node
        self._operator_of = operator_of
        self._orders = zone_orders.ZoneOrders(node)

    def routes(self):
        """Return the aiohttp routes."""
        return [
            web.post(_EVACUATION_PATH, self._evacuate),
            web.delete(_EVACUATION_PATH, self._restore),
            web.get(_ZONE_PATH, self._show),
        ]

    async def _evacuate(self, request):
        zone = _zone_of(request)
        operator = self._operator_of(request)
        return _respond(await self._orders.evacuate(zone, operator))

    async def _restore(self, request):
        zone = _zone_of(request)
        operator = self._operator_of(request)
        return _respond(await self._orders.restore(zone, operator))

    async def _show(self, request):
        zone = _zone_of(request)
        if await self._node.read_index() is None:
            return _unavailable(changes.NO_MAJORITY)
        state = self._node.state
        servers = state.servers.by_id.values()
        return web.json_response(
            {
                'zone': zone,
                'evacuated': zone in state.evacuations.zones,
                'servers': sorted(s.id for s in servers if s.zone == zone),
            }
        )


def _zone_of(request):
    """Return the zone named in the path.

    :raises HTTPUnprocessableEntity: if no zone can have that name.
    """
    zone = request.match_info['zone']
    if not evacuations.is_zone_name(zone):
        raise web.HTTPUnprocessableEntity(text=evacuations.EXPECTED_NAME)
    return zone


def _respond(outcome):
    match outcome:
        case results.Accepted(index=index, repeated=repeated):
            return web.json_response({'index': index, 'repeated': repeated})
    return _unavailable(outcome.problem)


def _unavailable(problem):
    return web.json_response(
        {'problem': problem},
        status=503,
        headers={'Retry-After': RETRY_AFTER_S},
    )
