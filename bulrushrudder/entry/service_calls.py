"""Serves calls of routes whose target is a plain service."""

import asyncio
import dataclasses
import functools
import re

from aiohttp import web
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.core import units
from bulrushrudder.engines import services as plain_services
from bulrushrudder.entry import admission
from bulrushrudder.entry import calls_in_flight
from bulrushrudder.entry import refusals
from bulrushrudder.entry import service_router
from bulrushrudder.entry import tracing
from bulrushrudder.entry import view_contact
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.idempotency import actions
from bulrushrudder.idempotency import events
from bulrushrudder.idempotency import fingerprints
from bulrushrudder.lifecycle import suspicion
from bulrushrudder.state import intents
from bulrushrudder.state import suspect_parts
from bulrushrudder.utils import answer_room

CALL_ID_HEADER = 'Idempotency-Key'
REPLAYED_HEADER = 'Idempotency-Replayed'

_CALL_ID_PATTERN = re.compile(r'[\x21-\x7e]{1,255}')
_MALFORMED_CALL_ID = outcomes.not_run(
    outcomes.Reason.MALFORMED_REQUEST,
    f'{CALL_ID_HEADER} must be 1 to 255 visible ASCII characters',
)
# Limit on servers tried for one call, also when none of them ran it; each
# further try also takes from the retry budget.
MAX_TRIES = 4
# Longest wait for the record of a crash before the next try.
CRASH_CHECK_TIMEOUT_S = 0.5


class ServiceCalls:
    """Serves calls to plain services.

    :param services: the SharedServices of this process.
    """

    def __init__(self, services):
        self._services = services

    async def serve(self, http_request, request_id, admitted, body):
        """Serve one call and return its HTTP response.

        A call with an id on a route that is not repeatable goes through
        the register of calls and runs at most once.

        :param http_request: the aiohttp request.
        :param request_id: id of the request in logs and answers.
        :param admitted: the AdmittedCall.
        :param body: bytes of the request body.
        """
        call = plain_services.Call(
            http_request.method,
            http_request.path_qs,
            tuple(http_request.headers.items()),
            body,
            admitted.route.target.timeout_s,
            request_id=request_id,
            room=answer_room.of_request(http_request),
        )
        service = admitted.route.target.service
        call_id = http_request.headers.get(CALL_ID_HEADER)
        if admitted.route.repeatable or call_id is None:
            running = self._services.spawn(self.send(admitted, service, call))
            sent = await asyncio.shield(running)
            return self._respond(sent, request_id, admitted)
        if not _CALL_ID_PATTERN.fullmatch(call_id):
            return self._refuse(_MALFORMED_CALL_ID, request_id, admitted)
        outcome = await self._serve_at_most_once(admitted, call, call_id)
        return self._respond(outcome, request_id, admitted)

    async def _serve_at_most_once(self, admitted, call, call_id):
        """Serve a call that runs at most once per call id.

        :returns: a Deliver, Replay or Refuse action.
        """
        account = admitted.account
        registered = self._services.call_registrar.create_call(
            account.id if account else ids.AccountId(''),
            call_id,
            fingerprints.of(call.method, call.path, call.body),
            admitted.route.patience_s,
            functools.partial(
                self.send, admitted, admitted.route.target.service, call
            ),
        )
        self._services.spawn(registered.run())
        return await asyncio.shield(registered.outcome)

    async def send(self, admitted, service, call):
        """Charge a call to its account and send it.

        :param admitted: the AdmittedCall.
        :param service: id of the service.
        :param call: the Call.
        :returns: an Answered or a Failed event.
        """
        if self._is_quarantined(call, suspect_parts.MIN_CRASHES):
            return events.Failed(suspicion.QUARANTINED)
        try:
            async with self._services.in_flight.wait():
                charged = await self._charge(admitted)
        except calls_in_flight.Stopped:
            return events.Failed(admission.SHUTTING_DOWN)
        match charged:
            case result.Failure(refusal):
                return events.Failed(refusal)
            case result.Success(charge):
                pass
        match await self._try_servers(admitted, service, call):
            case result.Failure(refusal):
                await self._refund(charge, refusal)
                return events.Failed(refusal)
            case result.Success(reply):
                headers = (
                    str(part) for pair in reply.headers for part in pair
                )
                return events.Answered(
                    intents.Answer(reply.status, tuple(headers), reply.body)
                )
        raise AssertionError(
            f'unreachable: {service} gave neither a Reply nor a Refusal'
        )

    async def _try_servers(self, admitted, service, call):
        """Try servers until one answers or no further try is allowed.

        Access is checked again before each try, since the call may have
        waited for tokens or for a server.

        :returns: a Reply, or a Refusal that says whether the call ran.
        """
        loop = asyncio.get_running_loop()
        self._services.retries.record_admission(loop.time(), service)
        tried = []
        runs = 0
        sent = None
        while True:
            chosen = await self._choose(service, call, tried)
            allowed = admission.check_again(
                self._services.view, loop.time(), admitted
            )
            match chosen, allowed:
                case (result.Failure(refusal), _) | (
                    _,
                    result.Failure(refusal),
                ):
                    return result.Failure(refusal) if sent is None else sent
                case result.Success(server), _:
                    pass
            waited = await view_contact.settle(self._services.view)
            if waited or not self._takes_requests(server):
                continue
            left_s = call.deadline_s - loop.time()
            timeout_s = min(call.timeout_s, left_s)
            bounded_call = dataclasses.replace(call, timeout_s=timeout_s)
            started_s = loop.time()
            view = self._services.view.index
            latest = await self._services.service_router.call(
                server, bounded_call
            )
            took_s = loop.time() - started_s
            self._services.metrics.observe_call(service, took_s)
            self._log_try(bounded_call, server, latest, took_s)
            if not self._takes_requests(server) and not _may_have_run(latest):
                # Nothing was sent, so this needs no retry budget.
                continue
            sent = latest if sent is None else _merged(sent, latest)
            runs += _may_have_run(latest)
            checking = self._record_result(server, call, latest, view)
            if not _should_try_again(latest, call) or runs >= call.attempts:
                return sent
            tried.append(server.id)
            if not await self._may_try_again(service, call, tried, checking):
                return sent

    def _takes_requests(self, server):
        """Return whether the zone of a chosen server is still in service.

        If not, the next choice leaves its servers out.
        """
        return self._services.service_router.takes_requests(server)

    async def _choose(self, service, call, tried):
        """Choose a server, unless the process stops meanwhile.

        :returns: a BackendServer, or a Refusal.
        """
        try:
            async with self._services.in_flight.wait():
                return await self._services.call_permits.choose(
                    service, call, tried
                )
        except calls_in_flight.Stopped:
            return result.Failure(admission.SHUTTING_DOWN)

    async def _may_try_again(self, service, call, tried, checking):
        """Return whether time, crashes and the retry budget allow a try.

        :param tried: ids of the servers that were tried.
        :param checking: the task that checks for a crash, or None.
        """
        loop = asyncio.get_running_loop()
        if loop.time() >= call.deadline_s or len(tried) >= MAX_TRIES:
            return False
        if checking is not None:
            await asyncio.wait({checking}, timeout=CRASH_CHECK_TIMEOUT_S)
        if self._is_quarantined(call, suspect_parts.MIN_CRASHES_BEFORE_REPEAT):
            return False
        return self._services.retries.take_retry(loop.time(), service=service)

    def _is_quarantined(self, call, min_crashes):
        suspects = self._services.view.state.suspect_parts
        return suspects.refuses(call.fingerprint, (), min_crashes)

    def _record_result(self, server, call, latest, view):
        """Record what the result of a try says about the call.

        :param view: index of the log that had been applied at its start.
        :returns: the task that checks for a crash, or None.
        """
        services = self._services
        if not call.fingerprint:
            return None
        match latest:
            case result.Success():
                keys = (call.fingerprint,)
                if services.view.state.suspect_parts.known(keys):
                    services.spawn(services.crash_reporter.clear(keys))
            case result.Failure(
                outcomes.Refusal(
                    reason=outcomes.Reason.BACKEND_FAILED,
                    execution=outcomes.Execution.UNKNOWN,
                )
            ):
                report = suspect_parts.ReportEarlyCrash(
                    call.fingerprint, (), server.id, server.incarnation, view
                )
                return services.spawn(self._check_for_crash(server, report))
        return None

    async def _check_for_crash(self, server, report):
        if await self._services.service_router.has_crashed(server):
            await self._services.crash_reporter.report(report)

    def _log_try(self, call, server, latest, took_s):
        """Log the outcome of a call at one server, and the view used."""
        path = None
        match latest:
            case result.Success(reply):
                outcome = str(reply.status)
                path = reply.relay or tracing.DIRECT
            case result.Failure(refusal):
                outcome = f'{refusal.reason.name}: {refusal.detail}'
        now_s = asyncio.get_running_loop().time()
        log.emit(
            catalogue.CALL_ATTEMPTED,
            request=call.request_id,
            server=server.id,
            outcome=outcome,
            path=path,
            path_lost=self._services.doubts(server),
            took_ms=round(took_s * units.MS_PER_SECOND),
            timeout_ms=round(call.timeout_s * units.MS_PER_SECOND),
            view=self._services.view.index,
            view_age_ms=self._services.view.age_ms(now_s),
        )

    async def _charge(self, admitted):
        if admitted.account is None:
            return result.Success(None)
        return await self._services.authority_client.request_tokens(
            admitted.account.id,
            admitted.call_tokens,
            admitted.route.patience_s,
        )

    async def _refund(self, charge, refusal):
        """Refund the tokens of a call that certainly did not run."""
        not_run = refusal.execution is outcomes.Execution.NOT_RUN
        if charge is not None and charge.tokens and not_run:
            await self._services.authority_client.refund(charge, charge.tokens)

    def _respond(self, outcome, request_id, admitted):
        match outcome:
            case events.Failed(refusal=refusal):
                return self._refuse(refusal, request_id, admitted)
            case actions.Refuse(refusal=refusal):
                return self._refuse(refusal, request_id, admitted)
        self._services.metrics.count_answer(admitted.route.id)
        answer = outcome.answer
        names = answer.headers[::2]
        values = answer.headers[1::2]
        headers = [
            *zip(names, values, strict=True),
            ('X-Request-Id', request_id),
        ]
        if isinstance(outcome, actions.Replay):
            headers.append((REPLAYED_HEADER, 'true'))
        return web.Response(
            status=answer.status, body=answer.body, headers=headers
        )

    def _refuse(self, refusal, request_id, admitted):
        return refusals.refuse(
            self._services, refusal, request_id, admitted.route.id
        )


def _merged(earlier, latest):
    """Merge the outcome of the latest try with that of earlier ones.

    A reply takes precedence over a later failure. Once a try may have run
    the call, a later failure does not report it as not run.
    """
    match earlier, latest:
        case result.Success(), result.Failure():
            return earlier
        case (
            result.Failure(outcomes.Refusal(execution=execution)),
            result.Failure(outcomes.Refusal() as refusal),
        ) if execution is not outcomes.Execution.NOT_RUN:
            return result.Failure(
                dataclasses.replace(refusal, execution=execution)
            )
    return latest


def _may_have_run(latest):
    """Return whether the server of the latest try may have run the call."""
    match latest:
        case result.Failure(
            outcomes.Refusal(execution=outcomes.Execution.NOT_RUN)
        ):
            return False
    return True


def _should_try_again(latest, call):
    """Return whether the call should and may go to another server."""
    match latest:
        case result.Success(reply):
            failed = reply.status >= service_router.FIRST_SERVER_ERROR_STATUS
            return failed and call.repeatable
    return call.repeatable or not _may_have_run(latest)
