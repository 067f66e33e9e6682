"""The HTTP interface for callers."""

import asyncio
import re

from aiohttp import web
from returns import result

from bulrushrudder.documents import types
from bulrushrudder.entry import admission
from bulrushrudder.entry import bodies
from bulrushrudder.entry import calls_in_flight
from bulrushrudder.entry import model_calls
from bulrushrudder.entry import refusals
from bulrushrudder.entry import service_calls
from bulrushrudder.utils import authentication
from bulrushrudder.utils import http_listener

_REQUEST_ID_PATTERN = re.compile(r'[A-Za-z0-9._:-]{1,128}')


class Frontend:
    """Request handlers of the HTTP interface for callers.

    :param services: the SharedServices of this process.
    :param body_timeout_s: seconds that a caller may take to send a body.
    """

    def __init__(self, services, body_timeout_s=bodies.BODY_TIMEOUT_S):
        self._services = services
        self._body_timeout_s = body_timeout_s
        self._model_calls = model_calls.ModelCalls(services)
        self._service_calls = service_calls.ServiceCalls(services)

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=bodies.MAX_BODY_BYTES)
        app.router.add_get('/-/ready', self._ready)
        app.router.add_get('/-/live', self._live)
        app.router.add_route('*', '/{path:.*}', self._call)
        return app

    async def _live(self, http_request):
        return web.json_response({'live': True})

    async def _ready(self, http_request):
        now_s = asyncio.get_running_loop().time()
        fresh = self._services.view.is_fresh(now_s)
        ready = fresh and not self._services.leaving
        return web.json_response(
            {'ready': ready}, status=200 if ready else 503
        )

    async def _call(self, http_request):
        request_id = self._request_id(http_request)
        try:
            return await self._serve(http_request, request_id)
        except refusals.AnswerCutOff:
            raise
        except Exception as error:
            refusal = refusals.from_exception(
                http_request, error, type(error).__name__
            )
            return self._refuse(http_request, refusal, request_id)

    async def _serve(self, http_request, request_id):
        admitted = self._admit(http_request)
        if isinstance(admitted, result.Failure):
            return self._refuse(http_request, admitted.failure(), request_id)
        in_flight = self._services.in_flight
        body = await bodies.read_while_accepting(
            in_flight, http_request, timeout_s=self._body_timeout_s
        )
        if isinstance(body, result.Failure):
            return self._refuse(http_request, body.failure(), request_id)
        # Check again: the key may have been withdrawn during the upload.
        admitted = self._admit(http_request)
        if isinstance(admitted, result.Failure):
            return self._refuse(http_request, admitted.failure(), request_id)
        try:
            async with in_flight.call():
                return await self._dispatch(
                    http_request, request_id, admitted.unwrap(), body.unwrap()
                )
        except calls_in_flight.Stopped:
            refusal = refusals.at_shutdown(http_request)
            return self._refuse(http_request, refusal, request_id)

    async def _dispatch(self, http_request, request_id, admitted, body):
        match admitted.route.target:
            case types.ModelTarget():
                return await self._model_calls.serve(
                    http_request, request_id, admitted, body
                )
            case types.ServiceTarget():
                return await self._service_calls.serve(
                    http_request, request_id, admitted, body
                )
        raise AssertionError(
            f'route {admitted.route.id} has a target other than a model '
            'or a service'
        )

    def _admit(self, http_request):
        return admission.admit(
            self._services.view,
            asyncio.get_running_loop().time(),
            self._services.draining
            or http_request.get(http_listener.CLOSE_ANNOUNCED, False),
            http_request.method,
            http_request.path,
            authentication.bearer_token(http_request),
        )

    def _refuse(self, http_request, refusal, request_id):
        """Refuse a call that is not in the register of calls yet."""
        route = self._services.view.lookups.route_of(
            http_request.method, http_request.path
        )
        call_id = http_request.headers.get(service_calls.CALL_ID_HEADER)
        return refusals.refuse(
            self._services,
            admission.with_earlier_attempts(refusal, route, call_id),
            request_id,
            'none' if route is None else route.id,
        )

    def _request_id(self, http_request):
        supplied = http_request.headers.get('X-Request-Id', '')
        if _REQUEST_ID_PATTERN.fullmatch(supplied):
            return supplied
        owner = self._services.owner
        number = self._services.next_request_number()
        return f'{owner.vm}-{owner.incarnation}-{number}'
