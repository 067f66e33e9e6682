"""Calls of routes that lead to a plain service."""

import random

from aiohttp import web
from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import services as plain_services
from bulrushrudder.entry import refusals


class ServiceCalls:
    """Serves calls to plain services.

    :param services: the Services of this process.
    """

    def __init__(self, services):
        self._services = services

    async def serve(self, http_request, request_id, admitted, body):
        """Serve one call and return its HTTP response."""
        server = self._service_server(admitted.route.target.service)
        if server is None:
            refusal = outcomes.not_run(
                outcomes.Reason.NO_SERVER, 'no backend server is up', 1.0
            )
            return self._refuse(refusal, request_id, admitted)
        call = plain_services.Call(
            http_request.method,
            http_request.path_qs,
            tuple(http_request.headers.items()),
            body,
            admitted.route.target.timeout_s,
        )
        match await self._services.plain.call(server, call):
            case result.Failure(refusal):
                return self._refuse(refusal, request_id, admitted)
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
            for server in self._services.view.state.servers.by_id.values()
            if server.kind == 'service' and service in server.serves
        ]
        return random.choice(servers) if servers else None

    def _refuse(self, refusal, request_id, admitted):
        return refusals.refuse(
            self._services.metrics, refusal, request_id, admitted.route.id
        )
