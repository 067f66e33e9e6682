"""HTTP API of a control process for runners and the operator."""

from aiohttp import web
from returns import result

from bulrushrudder.core import digests
from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.entry import bodies
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.metrics import control as metrics_control
from bulrushrudder.platform import announcements
from bulrushrudder.platform import calls
from bulrushrudder.platform import configuration
from bulrushrudder.platform import evacuations
from bulrushrudder.platform import orders
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import log_messages
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import paced_response
from bulrushrudder.utils import web as web_utils

MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
# A heartbeat has some hundred bytes.
MAX_HEARTBEAT_BYTES = 64 * 1024
OPERATOR = 'platform'
_PRODUCTION = types.Environment.PRODUCTION
_PREFIX = '/bulrushrudder'


class ControlApi:
    """Handles calls of runners and of the operator.

    :param control: the ControlProcess.
    :param metrics: the ControlMetrics.
    :param knows_cold: whether the settings bound the requests to cold
        servers.
    :param max_parsed_bytes: bytes that a configuration may take once it is
        parsed; None for no limit.
    """

    def __init__(
        self, control, metrics, knows_cold=False, max_parsed_bytes=None
    ):
        self._max_parsed_bytes = max_parsed_bytes
        self._control = control
        self._metrics = metrics
        self._knows_cold = knows_cold
        self._read_services = (b'', {})

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_CONFIGURATION_BYTES,
            middlewares=[web_utils.json_errors],
        )
        instance = f'{_PREFIX}/instances/{{id}}'
        app.add_routes(
            [
                web.put(instance, self._handle_heartbeat),
                web.delete(instance, self._handle_departure),
                web.put(f'{_PREFIX}/config', self._put_configuration),
                web.get(f'{_PREFIX}/config', self._get_configuration),
                *evacuations.EvacuationApi(
                    self._control.node, OPERATOR
                ).routes(_PREFIX),
            ]
        )
        return app

    async def _handle_heartbeat(self, request):
        match await bodies.read(request, max_bytes=MAX_HEARTBEAT_BYTES):
            case result.Failure(refusal):
                return _problem(400, refusal.detail)
            case result.Success(body):
                pass
        if not await self._is_state_usable():
            return _problem(503, 'no quorum confirmed the configuration')
        parsed = announcements.read(
            request.match_info['id'],
            body,
            self._services_by_id(),
            self._knows_cold,
        )
        match parsed:
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
        raise AssertionError(
            'unreachable: heartbeat was neither parsed nor rejected'
        )

    async def _is_state_usable(self):
        """Return whether heartbeats can be read with the state here.

        After a restart it may lag behind the log, and an engine whose
        service is unknown would join without its memory and link. Before
        the first configuration, a quorum confirms that there is none.
        """
        if self._services_by_id():
            return True
        return await self._control.node.read_index() is not None

    def _services_by_id(self):
        """Return the services of the configuration in force here."""
        documents = self._control.node.state.documents
        recorded = documents.lookups(_PRODUCTION).services_by_id
        if not self._knows_cold or not documents.source:
            return recorded
        source, services = self._read_services
        if source is not documents.source:
            services = configuration.read_services(documents.source)
            self._read_services = documents.source, services
        return services or recorded

    async def _handle_departure(self, request):
        """Commit that a runner has left.

        It may be absent here, lost or set aside, or its join may still be
        on its way: it must not join later.
        """
        match await bodies.read(request, max_bytes=MAX_HEARTBEAT_BYTES):
            case result.Failure(refusal):
                return _problem(400, refusal.detail)
            case result.Success(body):
                pass
        incarnation = announcements.read_departure(body)
        if incarnation is None:
            incarnation = log_messages.LATEST_INCARNATION
        leave = servers.LeaveServer(
            ids.ServerId(request.match_info['id']), incarnation
        )
        return await self._pass_on(
            log_messages.Announce(codec.encode(leave), True)
        )

    async def _announce(self, server, leaving, sequence):
        command = codec.encode(servers.JoinServer(server))
        return await self._pass_on(
            log_messages.Announce(command, leaving, sequence)
        )

    async def _pass_on(self, message):
        if await self._control.announce(message):
            return web.json_response({})
        return _problem(503, 'no leader accepted the announcement')

    async def _put_configuration(self, request):
        source = await request.read()
        match configuration.read(source, self._max_parsed_bytes):
            case result.Failure(problem):
                self._count_submission(
                    metrics_control.SubmissionOutcome.INVALID
                )
                log.emit(
                    catalogue.DOCUMENT_REFUSED,
                    detail=problem,
                    operator=OPERATOR,
                )
                return _problem(400, problem)
            case result.Success(document):
                return await self._adopt_configuration(document, source)
        raise AssertionError(
            'unreachable: configuration was neither read nor rejected'
        )

    async def _adopt_configuration(self, document, source):
        outcome = await self._control.adopt_document(
            document, source, digests.of(source), OPERATOR
        )
        match outcome:
            case results.Accepted(index=index, repeated=repeated):
                kind = metrics_control.SubmissionOutcome.ACCEPTED
                if repeated:
                    kind = metrics_control.SubmissionOutcome.REPEATED
                self._count_submission(kind)
                log.emit(
                    catalogue.DOCUMENT_ACCEPTED,
                    version=document.version,
                    index=index,
                    operator=OPERATOR,
                )
                return web.json_response({'version': document.version})
            case results.Rejected(problem=problem):
                self._count_submission(
                    metrics_control.SubmissionOutcome.INVALID
                )
                return _problem(413, problem)
        self._count_submission(metrics_control.SubmissionOutcome.UNAVAILABLE)
        return _problem(503, 'no leader accepted the configuration')

    def _count_submission(self, kind):
        self._metrics.count_submission(_PRODUCTION, kind)

    async def _get_configuration(self, request):
        if await self._control.node.read_index() is None:
            return _problem(503, 'no quorum confirmed the configuration')
        source = self._control.node.state.documents.source
        if not source:
            return _problem(503, 'no configuration has been submitted')
        return paced_response.PacedResponse(
            body=source, content_type='application/json'
        )


class Interface:
    """The platform's interface of a control process."""

    def application(self, control, settings, metrics):
        """Return the aiohttp application for runners and the operator."""
        return ControlApi(
            control,
            metrics,
            settings.control.knows_cold,
            client_limits.of_vm(settings.limits).held_bytes,
        ).application()

    def order_client(self, stack):
        """Return the OrderClient that sends orders to runners.

        :param stack: an AsyncExitStack that owns its connections.
        """
        pool = calls.pool()
        stack.callback(pool.close)
        return orders.OrderClient(pool)


def _problem(status, problem):
    return web.json_response({'problem': problem}, status=status)
