"""What runners and the operator call on a control process."""

from aiohttp import web
from returns import result

from bulrushrudder.core import digests
from bulrushrudder.documents import types
from bulrushrudder.engines import connections
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.metrics import control as metrics_control
from bulrushrudder.platform import announcements
from bulrushrudder.platform import configuration
from bulrushrudder.platform import orders
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import log_messages
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.utils import web as web_utils

MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
OPERATOR = 'platform'
_PRODUCTION = types.Environment.PRODUCTION
_PREFIX = '/bulrushrudder'


class ControlDoor:
    """Handlers of the calls of runners and of the operator.

    :param control: the ControlProcess.
    :param metrics: the ControlMetrics.
    """

    def __init__(self, control, metrics):
        self._control = control
        self._metrics = metrics

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_CONFIGURATION_BYTES,
            middlewares=[web_utils.json_errors],
        )
        instance = f'{_PREFIX}/instances/{{id}}'
        app.add_routes(
            [
                web.put(instance, self._beat),
                web.delete(instance, self._depart),
                web.put(f'{_PREFIX}/config', self._configure),
                web.get(f'{_PREFIX}/config', self._show),
            ]
        )
        return app

    async def _beat(self, request):
        body = await request.read()
        document = self._control.node.state.documents.lookups(_PRODUCTION)
        found = announcements.read(
            request.match_info['id'], body, document.services_by_id
        )
        match found:
            case result.Success(announced):
                return await self._announce(
                    announced.server, announced.leaving, announced.sequence
                )
            case result.Failure(problem):
                log.emit(
                    catalogue.ANNOUNCEMENT_INVALID,
                    server=request.match_info['id'],
                    detail=problem,
                )
                return _problem(400, problem)
        raise AssertionError('unreachable')

    async def _depart(self, request):
        server_id = request.match_info['id']
        born = announcements.read_departure(await request.read())
        known = self._control.node.state.servers.by_id.get(server_id)
        if known is None or (born is not None and born < known.incarnation):
            return web.json_response({})
        return await self._announce(known, True, 0)

    async def _announce(self, server, leaving, sequence):
        command = codec.encode(servers.JoinServer(server))
        message = log_messages.Announce(command, leaving, sequence)
        if await self._control.announce(message):
            return web.json_response({})
        return _problem(503, 'no leader took the announcement')

    async def _configure(self, request):
        source = await request.read()
        match configuration.read(source):
            case result.Failure(problem):
                self._count(metrics_control.Submission.INVALID)
                log.emit(
                    catalogue.DOCUMENT_REFUSED,
                    detail=problem,
                    operator=OPERATOR,
                )
                return _problem(400, problem)
            case result.Success(document):
                return await self._adopt(document, source)
        raise AssertionError('unreachable')

    async def _adopt(self, document, source):
        outcome = await self._control.adopt_document(
            document, source, digests.of(source), OPERATOR
        )
        match outcome:
            case results.Accepted(index=index, repeated=repeated):
                kind = metrics_control.Submission.ACCEPTED
                if repeated:
                    kind = metrics_control.Submission.REPEATED
                self._count(kind)
                log.emit(
                    catalogue.DOCUMENT_ACCEPTED,
                    version=document.version,
                    index=index,
                    operator=OPERATOR,
                )
                return web.json_response({'version': document.version})
        self._count(metrics_control.Submission.UNAVAILABLE)
        return _problem(503, 'no leader took the configuration')

    def _count(self, kind):
        self._metrics.count_submission(_PRODUCTION, kind)

    async def _show(self, request):
        if await self._control.node.read_index() is None:
            return _problem(503, 'no quorum vouches for the configuration')
        source = self._control.node.state.documents.source
        if not source:
            return _problem(503, 'there is no configuration yet')
        return web.Response(body=source, content_type='application/json')


class Interface:
    """What the platform's operator and runners speak."""

    def application(self, control, settings, metrics):
        """Return the aiohttp application for them."""
        return ControlDoor(control, metrics).application()

    def order_client(self, stack):
        """Return what carries orders to runners."""
        kept = connections.Connections()
        stack.callback(kept.close)
        return orders.OrderClient(kept)


def _problem(status, problem):
    return web.json_response({'problem': problem}, status=status)
