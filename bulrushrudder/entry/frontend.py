"""The callers' HTTP interface."""

import asyncio
import re

from aiohttp import web
from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.documents import types
from bulrushrudder.entry import admission
from bulrushrudder.entry import model_calls
from bulrushrudder.entry import refusals
from bulrushrudder.entry import service_calls

MAX_BODY_BYTES = 4 * 1024 * 1024
BYTES_A_TOKEN = 4

_REQUEST_ID = re.compile(r'[A-Za-z0-9._:-]{1,128}')


class Frontend:
    """Handlers of the callers' interface.

    :param services: the Services of this process.
    """

    def __init__(self, services):
        self._services = services
        self._model_calls = model_calls.ModelCalls(services)
        self._service_calls = service_calls.ServiceCalls(services)

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
                return refusals.refuse(
                    self._services.metrics, refusal, request_id, 'none'
                )
            case result.Success(found):
                pass
        try:
            body = await http_request.read()
        except web.HTTPRequestEntityTooLarge:
            refusal = outcomes.not_run(
                outcomes.Reason.BODY_TOO_LARGE,
                f'a body has at most {MAX_BODY_BYTES} bytes',
            )
            return refusals.refuse(
                self._services.metrics, refusal, request_id, found.route.id
            )
        match found.route.target:
            case types.ModelTarget():
                return await self._model_calls.serve(
                    http_request, request_id, found, body
                )
            case types.ServiceTarget():
                return await self._service_calls.serve(
                    http_request, request_id, found, body
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
