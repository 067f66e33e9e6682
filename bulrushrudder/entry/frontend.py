"""The callers' HTTP interface."""

import asyncio
import random
import re

from aiohttp import web
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.documents import types
from bulrushrudder.engines import services as plain_services
from bulrushrudder.entry import admission
from bulrushrudder.entry import answers
from bulrushrudder.entry import completions
from bulrushrudder.entry import execution
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import request as lifecycle

MAX_BODY_BYTES = 4 * 1024 * 1024
BYTES_A_TOKEN = 4

_REQUEST_ID = re.compile(r'[A-Za-z0-9._:-]{1,128}')


class Frontend:
    """Handlers of the callers' interface.

    :param services: the Services of this process.
    """

    def __init__(self, services):
        self._services = services

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get('/-/ready', self._ready)
        app.router.add_get('/-/live', self._live)
        app.router.add_route('*', '/{path:.*}', self._call)
        return app

    async def _live(self, http_request):
        return web.json_response({'live': True})

    async def _ready(self, http_request):
        now_s = asyncio.get_running_loop().time()
        fresh = self._services.view.fresh(now_s)
        ready = fresh and not self._services.draining
        return web.json_response(
            {'ready': ready}, status=200 if ready else 503
        )

    async def _call(self, http_request):
        request_id = self._request_id(http_request)
        admitted = admission.admit(
            self._services.view,
            asyncio.get_running_loop().time(),
            self._services.draining,
            http_request.method,
            http_request.path,
            _key_of(http_request),
        )
        match admitted:
            case result.Failure(refusal):
                return self._refuse(refusal, request_id, 'none')
            case result.Success(found):
                pass
        try:
            body = await http_request.read()
        except web.HTTPRequestEntityTooLarge:
            refusal = outcomes.not_run(
                outcomes.Reason.BODY_TOO_LARGE,
                f'a body has at most {MAX_BODY_BYTES} bytes',
            )
            return self._refuse(refusal, request_id, found.route.id)
        match found.route.target:
            case types.ModelTarget():
                return await self._complete(
                    http_request, request_id, found, body
                )
            case types.ServiceTarget():
                return await self._pass_on(
                    http_request, request_id, found, body
                )

    async def _complete(self, http_request, request_id, admitted, body):
        match completions.parse(body):
            case result.Failure(refusal):
                return self._refuse(refusal, request_id, admitted.route.id)
            case result.Success(asked):
                pass
        job = self._job(request_id, admitted, asked)
        if asked.stream:
            sink = answers.StreamedAnswer(http_request, request_id, job.model)
        else:
            sink = answers.WholeAnswer(request_id, job.model)
        running = execution.Execution(job, self._services, sink)
        task = self._services.spawn(running.run())
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            running.caller_gone()
            raise
        self._count(sink, admitted.route.id, request_id)
        return sink.response

    def _job(self, request_id, admitted, asked):
        target = admitted.route.target
        model = self._services.view.lookups.models_by_id[target.model]
        most = model.max_output_tokens
        output_tokens = min(asked.max_tokens or most, most)
        prompt_tokens = -(-len(asked.prompt.encode()) // BYTES_A_TOKEN)
        account = admitted.account
        return lifecycle.Job(
            request=ids.RequestId(str(self._services.next_request())),
            owner=self._services.owner,
            account=account.id if account else None,
            model=target.model,
            prompt=asked.prompt,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            cost=prompt_tokens + output_tokens,
            interactive=(admitted.route.urgency is types.Urgency.INTERACTIVE),
            patience_s=admitted.route.patience_s,
        )

    async def _pass_on(self, http_request, request_id, admitted, body):
        server = self._service_server(admitted.route.target.service)
        if server is None:
            refusal = outcomes.not_run(
                outcomes.Reason.NO_SERVER, 'no backend server is up', 1.0
            )
            return self._refuse(refusal, request_id, admitted.route.id)
        call = plain_services.Call(
            http_request.method,
            http_request.path_qs,
            tuple(http_request.headers.items()),
            body,
            admitted.route.target.timeout_s,
        )
        match await self._services.plain.call(server, call):
            case result.Failure(refusal):
                return self._refuse(refusal, request_id, admitted.route.id)
            case result.Success(reply):
                pass
        self._services.metrics.count_answer(admitted.route.id)
        headers = [*reply.headers, ('X-Request-Id', request_id)]
        return web.Response(
            status=reply.status, body=reply.body, headers=headers
        )

    def _service_server(self, service):
        servers = [
            server
            for server in self._services.view.state.servers_by_id.values()
            if server.kind == 'service' and service in server.serves
        ]
        return random.choice(servers) if servers else None

    def _count(self, sink, route, request_id):
        if sink.refusal is None:
            self._services.metrics.count_answer(route)
            return
        self._note_refusal(sink.refusal, request_id, route)

    def _refuse(self, refusal, request_id, route):
        self._note_refusal(refusal, request_id, route)
        return answers.refuse(refusal, request_id)

    def _note_refusal(self, refusal, request_id, route):
        self._services.metrics.count_refusal(refusal.reason, route)
        event = catalogue.REQUEST_REFUSED
        if refusal.execution is not outcomes.Execution.NOT_RUN:
            event = catalogue.REQUEST_FAILED
        log.emit(
            event,
            request=request_id,
            route=route,
            reason=refusal.reason.name,
            execution=refusal.execution.value,
        )

    def _request_id(self, http_request):
        given = http_request.headers.get('X-Request-Id', '')
        if _REQUEST_ID.fullmatch(given):
            return given
        owner = self._services.owner
        number = self._services.next_request()
        return f'{owner.vm}-{owner.incarnation}-{number}'


def _key_of(http_request):
    given = http_request.headers.get('Authorization', '')
    scheme, _, key = given.partition(' ')
    if scheme.lower() != 'bearer' or not key.strip():
        return None
    return key.strip()
