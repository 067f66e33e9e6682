"""Calls of routes that lead to a plain service."""

import asyncio
import dataclasses
import functools
import re

from aiohttp import web
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.engines import services as plain_services
from bulrushrudder.entry import refusals
from bulrushrudder.entry import service_servers
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.idempotency import actions
from bulrushrudder.idempotency import events
from bulrushrudder.idempotency import fingerprints
from bulrushrudder.state import intents

ID_HEADER = 'Idempotency-Key'
REPLAYED_HEADER = 'Idempotency-Replayed'

_CALL_ID = re.compile(r'[\x21-\x7e]{1,255}')
_MALFORMED_ID = outcomes.not_run(
    outcomes.Reason.MALFORMED_REQUEST,
    f'{ID_HEADER} has 1 to 255 visible ASCII characters',
)
# Tries that no server ran are bounded too; each asks the retry budget.
MAX_TRIES = 4
MS_A_SECOND = 1000.0
_NO_SERVER = outcomes.not_run(
    outcomes.Reason.NO_SERVER, 'no backend server is up', 1.0
)


class ServiceCalls:
    """Serves calls to plain services.

    :param services: the Services of this process.
    """

    def __init__(self, services):
        self._services = services

    async def serve(self, http_request, request_id, admitted, body):
        """Serve one call and return its HTTP response."""
        call = plain_services.Call(
            http_request.method,
            http_request.path_qs,
            tuple(http_request.headers.items()),
            body,
            admitted.route.target.timeout_s,
            request_id=request_id,
        )
        service = admitted.route.target.service
        call_id = http_request.headers.get(ID_HEADER)
        if admitted.route.repeatable or call_id is None:
            running = self._services.spawn(self.send(admitted, service, call))
            sent = await asyncio.shield(running)
            return self._respond(sent, request_id, admitted)
        if not _CALL_ID.fullmatch(call_id):
            return self._refuse(_MALFORMED_ID, request_id, admitted)
        told = await self._serve_once(admitted, call, call_id)
        return self._respond(told, request_id, admitted)

    async def _serve_once(self, admitted, call, call_id):
        """Serve a call that runs at most once under its id."""
        account = admitted.account
        registered = self._services.registering.begin(
            account.id if account else ids.AccountId(''),
            call_id,
            fingerprints.of(call.method, call.path, call.body),
            admitted.route.patience_s,
            functools.partial(
                self.send, admitted, admitted.route.target.service, call
            ),
        )
        self._services.spawn(registered.run())
        return await asyncio.shield(registered.told)

    async def send(self, admitted, service, call):
        """Charge a call and send it.

        :param service: the id of the service.
        :param call: the Call.
        :returns: an Answered or a Failed event.
        """
        charged = await self._charge(admitted)
        match charged:
            case result.Failure(refusal):
                return events.Failed(refusal)
            case result.Success(charge):
                pass
        match await self._try_servers(service, call):
            case result.Failure(refusal):
                await self._give_back(charge, refusal)
                return events.Failed(refusal)
            case result.Success(reply):
                headers = (
                    str(part) for pair in reply.headers for part in pair
                )
                return events.Answered(
                    intents.Answer(reply.status, tuple(headers), reply.body)
                )
        raise AssertionError('unreachable')

    async def _try_servers(self, service, call):
        """Try servers until one has answered or no more may be tried.

        :returns: a Reply, or a Refusal that says whether the call ran.
        """
        loop = asyncio.get_running_loop()
        self._services.retries.record_admission()
        tried = []
        runs = 0
        sent = result.Failure(_NO_SERVER)
        while True:
            server = self._services.plain.choose(service, tried)
            if server is None:
                return sent
            left_s = call.deadline_s - loop.time()
            timeout_s = min(call.timeout_s, left_s)
            bounded = dataclasses.replace(call, timeout_s=timeout_s)
            began_s = loop.time()
            found = await self._services.plain.call(server, bounded)
            took_s = loop.time() - began_s
            self._services.metrics.observe_call(service, took_s)
            self._log_try(call, server, found, took_s)
            sent = _after(sent, found)
            runs += _has_run(found)
            if not _is_wanting(found, call) or runs >= call.attempts:
                return sent
            tried.append(server.id)
            now_s = loop.time()
            if now_s >= call.deadline_s or len(tried) >= MAX_TRIES:
                return sent
            if not self._services.retries.take_retry(now_s):
                return sent

    def _log_try(self, call, server, found, took_s):
        """Log what one server made of a call, and what chose it."""
        match found:
            case result.Success(reply):
                outcome = str(reply.status)
            case result.Failure(refusal):
                outcome = f'{refusal.reason.name}: {refusal.detail}'
        now_s = asyncio.get_running_loop().time()
        log.emit(
            catalogue.CALL_TRIED,
            request=call.request_id,
            server=server.id,
            outcome=outcome,
            took_ms=round(took_s * MS_A_SECOND),
            timeout_ms=round(call.timeout_s * MS_A_SECOND),
            view=self._services.view.index,
            view_age_ms=self._services.view.age_ms(now_s),
        )

    async def _charge(self, admitted):
        if admitted.account is None:
            return result.Success(None)
        return await self._services.authorities.ask(
            admitted.account.id,
            admitted.call_tokens,
            admitted.route.patience_s,
        )

    async def _give_back(self, charge, refusal):
        """Give the tokens of a call back that was surely not run."""
        not_run = refusal.execution is outcomes.Execution.NOT_RUN
        if charge is not None and charge.tokens and not_run:
            await self._services.authorities.give_back(charge, charge.tokens)

    def _respond(self, told, request_id, admitted):
        match told:
            case events.Failed(refusal=refusal):
                return self._refuse(refusal, request_id, admitted)
            case actions.Refuse(refusal=refusal):
                return self._refuse(refusal, request_id, admitted)
        self._services.metrics.count_answer(admitted.route.id)
        answer = told.answer
        names = answer.headers[::2]
        values = answer.headers[1::2]
        headers = [
            *zip(names, values, strict=True),
            ('X-Request-Id', request_id),
        ]
        if isinstance(told, actions.Replay):
            headers.append((REPLAYED_HEADER, 'true'))
        return web.Response(
            status=answer.status, body=answer.body, headers=headers
        )

    def _refuse(self, refusal, request_id, admitted):
        return refusals.refuse(
            self._services, refusal, request_id, admitted.route.id
        )


def _after(earlier, found):
    """Return what is known of a call after one more try.

    An answer that a server gave stays the answer where a later try got
    none; a call that may have run once may have run.
    """
    match earlier, found:
        case result.Success(), result.Failure():
            return earlier
        case (
            result.Failure(outcomes.Refusal(execution=execution)),
            result.Failure(outcomes.Refusal() as refusal),
        ) if execution is not outcomes.Execution.NOT_RUN:
            return result.Failure(
                dataclasses.replace(refusal, execution=execution)
            )
    return found


def _has_run(found):
    """Return whether a try may have run the call."""
    match found:
        case result.Failure(
            outcomes.Refusal(execution=outcomes.Execution.NOT_RUN)
        ):
            return False
    return True


def _is_wanting(found, call):
    """Return whether another try may help, and is allowed."""
    match found:
        case result.Success(reply):
            failed = reply.status >= service_servers.FIRST_SERVER_ERROR
            return failed and call.repeatable
    return call.repeatable or not _has_run(found)
