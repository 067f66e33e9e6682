"""HTTP API of an entry process for clients and the load balancer."""

import asyncio
import random

from aiohttp import web
from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.documents import types
from bulrushrudder.engines import services
from bulrushrudder.entry import admission
from bulrushrudder.entry import bodies
from bulrushrudder.entry import calls_in_flight
from bulrushrudder.entry import model_calls
from bulrushrudder.entry import refusals
from bulrushrudder.entry import service_calls
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.idempotency import events
from bulrushrudder.lifecycle import suspicion
from bulrushrudder.platform import answers
from bulrushrudder.platform import calls
from bulrushrudder.platform import engines
from bulrushrudder.platform import headers
from bulrushrudder.platform import jobs as platform_jobs
from bulrushrudder.platform import services as plain_services
from bulrushrudder.platform import statements
from bulrushrudder.utils import answer_room
from bulrushrudder.utils import authentication
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import http_listener
from bulrushrudder.utils import web as web_utils

# A server that has not answered a repeatable call within this multiple of
# the route's latency target times out, so that the call is retried on
# another one. Healthy servers are slower only in the tail.
ATTEMPT_TIMEOUT_TARGETS = 3.0
SHUTDOWN_TIMEOUT_S = 1.0
# While the process stops, it accepts new streams for this time only, and
# only those whose estimated duration, with a margin, ends before the stop
# deadline. Length estimates are medians: half of the answers are longer.
STREAM_CUTOFF_AFTER_STOP_S = 2.0
LENGTH_ESTIMATE_MARGIN = 1.6
# The document limits the headers as a whole; this bounds a single one.
MAX_FIELD_BYTES = 64 * 1024
# Colon, blank and line end of a header line.
HEADER_LINE_EXTRA_BYTES = 4
_STREAM_UNKNOWN = outcomes.not_run(
    outcomes.Reason.STREAM_UNKNOWN,
    'it is not known which software version began the stream',
    0.5,
)


class Interface:
    """The platform's interface of an entry process."""

    async def clients(
        self, stack, settings, record_statements, network, permit=None
    ):
        """Return the EngineClient and the ServiceClient.

        :param stack: an AsyncExitStack that owns their connections.
        :param settings: the Settings.
        :param record_statements: function of a server, the seconds at which
            a request was sent, and the Statements in its answer.
        :param network: opens connections to servers, as for ConnectionPool.
        :param permit: as for ConnectionPool.
        """
        pool = calls.pool(
            lambda server, sent_s, head: record_statements(
                server, sent_s, statements.read(head)
            ),
            network,
            permit,
            client_limits.replies_bytes(settings.limits),
        )
        stack.callback(pool.close)
        return engines.EngineClient(pool), plain_services.ServiceClient(pool)

    async def listen(self, stack, settings, entry):
        """Listen for clients and for the load balancer.

        :param stack: an AsyncExitStack that owns the listeners.
        :param settings: the Settings.
        :param entry: the EntryProcess.
        :returns: the HttpListener for clients.
        """
        api = EntryApi(entry.services)
        clients = http_listener.HttpListener(
            api.application(),
            http_listener.Options(
                cancel_handlers=True,
                get_timeouts=api.connection_timeouts,
                closes_connections=lambda: entry.services.leaving,
                shutdown_timeout_s=SHUTDOWN_TIMEOUT_S,
                decompresses_bodies=False,
                max_field_bytes=MAX_FIELD_BYTES,
                ledger=entry.ledger,
                refuse_overload=api.refuse_overload,
            ),
        )
        await clients.open(stack, settings.entry.callers)
        await web_utils.listen(
            stack,
            api.readiness(),
            settings.entry.ready,
            _probe_options(settings),
        )
        return clients


class EntryApi:
    """Handles calls of clients and readiness checks.

    :param shared: the SharedServices of this process.
    """

    def __init__(self, shared):
        self._services = shared
        self._model_calls = model_calls.ModelCalls(shared)
        self._service_calls = service_calls.ServiceCalls(shared)
        self._jobs = platform_jobs.JobBuilder(shared)

    def application(self):
        """Return the aiohttp application for clients."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._call)
        return app

    def connection_timeouts(self):
        """Return the ConnectionTimeouts of the document in force."""
        bounds = self._services.view.lookups.document.bounds
        if bounds is None:
            return http_listener.DEFAULT_TIMEOUTS
        return http_listener.ConnectionTimeouts(bounds.header_s, bounds.idle_s)

    def refuse_overload(self, http_request):
        """Return the response to a call that there is no room for."""
        attempt = http_request.headers.get(headers.ATTEMPT)
        return self._refuse(bodies.NO_ROOM, attempt, 'none')

    def readiness(self):
        """Return the aiohttp application for readiness checks."""
        app = web.Application()
        app.router.add_get('/bulrushrudder/readyz', self._ready)
        return app

    async def _ready(self, http_request):
        shared = self._services
        known = shared.view.lookups.document.version > 0
        ready = known and not shared.leaving
        return web.json_response(
            {'ready': ready}, status=200 if ready else 503
        )

    async def _call(self, http_request):
        try:
            return await self._serve(http_request)
        except refusals.AnswerCutOff:
            raise
        except Exception as error:
            refusal = refusals.from_exception(http_request, error, repr(error))
            return answers.refuse(refusal, None)

    async def _serve(self, http_request):
        received_s = _now_s()
        match self._check_header_size(http_request):
            case result.Failure(refusal):
                return self._refuse(refusal, None, 'none')
        pairs = _decode_headers(http_request)
        match headers.read(pairs):
            case result.Failure(refusal):
                return self._refuse(refusal, None, 'none')
            case result.Success(request_headers):
                pass
        match self._admit(http_request):
            case result.Failure(refusal):
                return self._refuse(refusal, request_headers.attempt, 'none')
        match await self._read_body(http_request):
            case result.Failure(refusal):
                return self._refuse(refusal, request_headers.attempt, 'none')
            case result.Success(body):
                pass
        # The key may have been withdrawn while the body was read.
        match self._admit(http_request):
            case result.Failure(refusal):
                return self._refuse(refusal, request_headers.attempt, 'none')
            case result.Success(admitted):
                pass
        forwarded_call = _build_forwarded_call(
            http_request, pairs, request_headers, admitted, body, received_s
        )
        try:
            async with self._services.in_flight.call():
                return await self._dispatch(
                    http_request, forwarded_call, request_headers, admitted
                )
        except calls_in_flight.Stopped:
            return self._refuse(
                refusals.at_shutdown(http_request),
                request_headers.attempt,
                admitted.route.id,
            )

    async def _dispatch(
        self, http_request, forwarded_call, request_headers, admitted
    ):
        service_id = _draw_service(admitted.route.target)
        service = self._services.view.lookups.services_by_id[service_id]
        if service.engine is None:
            return await self._forward(
                http_request,
                forwarded_call,
                request_headers,
                admitted,
                service_id,
            )
        return await self._generate(
            http_request, forwarded_call, request_headers, admitted, service
        )

    def _check_header_size(self, http_request):
        """Return a Refusal if the headers exceed the document's limit."""
        bounds = self._services.view.lookups.document.bounds
        size = sum(
            len(name) + len(value) + HEADER_LINE_EXTRA_BYTES
            for name, value in http_request.raw_headers
        )
        if bounds is None or size <= bounds.max_header_bytes:
            return result.Success(None)
        return result.Failure(
            outcomes.not_run(
                outcomes.Reason.HEADERS_TOO_LARGE,
                f'the headers have {size} bytes, at most '
                f'{bounds.max_header_bytes} are allowed',
            )
        )

    async def _read_body(self, http_request):
        bounds = self._services.view.lookups.document.bounds
        max_bytes = bodies.MAX_BODY_BYTES
        if bounds is not None:
            max_bytes = bounds.max_body_bytes
        return await bodies.read_while_accepting(
            self._services.in_flight, http_request, max_bytes=max_bytes
        )

    def _admit(self, http_request):
        path, _, _ = http_request.raw_path.partition('?')
        host = http_request.headers.get('Host', '').lower()
        return admission.admit(
            self._services.view,
            _now_s(),
            not self._accepts(http_request),
            http_request.method,
            path,
            authentication.bearer_token(http_request),
            host.partition(':')[0],
        )

    def _accepts(self, http_request):
        announced = http_request.get(http_listener.CLOSE_ANNOUNCED, False)
        return self._services.accepts() and not announced

    # Calls to plain services.

    async def _forward(
        self,
        http_request,
        forwarded_call,
        request_headers,
        admitted,
        service_id,
    ):
        target = admitted.route.target
        repeatable = target.repetition is not types.Repetition.NOTHING
        remaining_s = forwarded_call.deadline_s - _now_s()
        if repeatable:
            remaining_s = min(
                remaining_s, target.answer_s * ATTEMPT_TIMEOUT_TARGETS
            )
        call = services.Call(
            forwarded_call.method,
            forwarded_call.target,
            forwarded_call.headers,
            forwarded_call.body,
            remaining_s,
            repeatable=repeatable,
            attempts=target.attempts,
            deadline_s=forwarded_call.deadline_s,
            request_id=request_headers.attempt,
            fingerprint=platform_jobs.fingerprint(forwarded_call, admitted),
            content=forwarded_call,
            room=answer_room.of_request(http_request),
        )
        sent = await self._service_calls.send(admitted, service_id, call)
        match sent:
            case events.Failed(refusal=refusal):
                return self._refuse(
                    refusal, request_headers.attempt, admitted.route.id
                )
            case events.Answered(answer=answer):
                self._services.metrics.count_answer(admitted.route.id)
                return answers.complete(answer)
        raise AssertionError('unreachable: call neither answered nor failed')

    # Calls to engines.

    async def _generate(
        self, http_request, forwarded_call, request_headers, admitted, service
    ):
        if not self._can_finish_before_stop(request_headers):
            return self._refuse(
                admission.SHUTTING_DOWN,
                request_headers.attempt,
                admitted.route.id,
            )
        software = None
        if request_headers.last_event:
            software = await self._find_software(request_headers, service)
            if software is None:
                return self._refuse(
                    _STREAM_UNKNOWN, request_headers.attempt, admitted.route.id
                )
        job = self._jobs.build(
            forwarded_call, request_headers, admitted, service, software
        )
        suspects = self._services.view.state.suspect_parts
        if suspects.refuses(job.fingerprint, job.parts):
            return self._refuse(
                suspicion.PART_QUARANTINED,
                request_headers.attempt,
                admitted.route.id,
            )
        sink = answers.RelayedAnswer(http_request, request_headers.attempt)
        await self._model_calls.run(
            job, admitted, request_headers.attempt, sink
        )
        return sink.response

    async def _find_software(self, request_headers, service):
        """Return the version that began a stream, None if unknown."""
        software = await self._services.stream_recorder.find(
            request_headers.resumed, service.id
        )
        log.emit(
            catalogue.STREAM_TAKEN_UP,
            request=request_headers.attempt,
            resumed=request_headers.resumed,
            last_event=request_headers.last_event,
            software=software,
        )
        return software

    def _can_finish_before_stop(self, request_headers):
        """Return whether a stream likely ends before the stop deadline.

        Because estimates may be wrong, no stream is accepted later than
        STREAM_CUTOFF_AFTER_STOP_S after the request to stop.
        """
        planned = self._services.shutdown
        if planned is None:
            return True
        if _now_s() > planned.requested_s + STREAM_CUTOFF_AFTER_STOP_S:
            return False
        tokens = (
            request_headers.expected_tokens or request_headers.output_tokens
        )
        needed_s = (
            platform_jobs.GRANT_TO_FIRST_EVENT_S
            + tokens * platform_jobs.ESTIMATED_TOKEN_S * LENGTH_ESTIMATE_MARGIN
        )
        return self._services.accepts(needed_s)

    def _refuse(self, refusal, attempt, route):
        refusals.record(self._services, refusal, attempt or 'none', route)
        return answers.refuse(refusal, attempt)


def _probe_options(settings):
    limits = client_limits.of_vm(settings.limits, client_limits.PROBES_SHARE)
    return http_listener.Options(limits=limits)


def _decode_headers(http_request):
    return tuple(
        (
            name.decode('utf-8', 'surrogateescape'),
            value.decode('utf-8', 'surrogateescape'),
        )
        for name, value in http_request.raw_headers
    )


def _build_forwarded_call(
    http_request, pairs, request_headers, admitted, body, received_s
):
    timeout_s = admitted.route.target.timeout_s
    if request_headers.timeout_s is not None:
        timeout_s = min(timeout_s, request_headers.timeout_s)
    forwarded = headers.forwarded_headers(pairs)
    if admitted.account is not None:
        forwarded = (*forwarded, (headers.ACCOUNT, admitted.account.id))
    return calls.ForwardedCall(
        http_request.method,
        http_request.raw_path,
        forwarded,
        body,
        request_headers.attempt,
        received_s + timeout_s,
        timeout_s,
    )


def _draw_service(target):
    """Draw the service for a call, with the weights of the shares."""
    if len(target.shares) == 1:
        return target.shares[0].service
    weights = [share.weight for share in target.shares]
    return random.choices(target.shares, weights)[0].service


def _now_s():
    return asyncio.get_running_loop().time()
