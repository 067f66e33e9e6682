"""Routes calls of plain services to backend servers."""

import asyncio

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.placement import server_selector

FIRST_SERVER_ERROR_STATUS = 500


class ServiceRouter:
    """Chooses backend servers and forwards calls to them.

    The outcome of each call feeds the choice, which ejects failing servers.

    :param view: the View of the log.
    :param zone: availability zone of this VM.
    :param client: the ServiceClient that forwards the calls.
    :param doubts: function of a BackendServer that returns whether a lost
        path can explain a failed call.
    """

    def __init__(self, view, zone, client, doubts=lambda server: False):
        self._doubts = doubts
        self._view = view
        self._zone = zone
        self._client = client
        self._selectors_by_service = {}
        self._versions_by_service = {}

    def candidates(self, service, tried=(), unavailable=()):
        """Return servers for a call to a service, the best one first.

        :param tried: ids of servers that this call was sent to before.
        :param unavailable: ids of servers that take no call.
        """
        ranked = self._selector(service).ranked(_now_s(), tried, unavailable)
        by_id = self._view.state.servers.by_id
        return [by_id[server_id] for server_id in ranked if server_id in by_id]

    def servers(self, service):
        """Return the servers of a service by id."""
        return self._view.state.servers.by_served.get(service, {})

    def server(self, server_id):
        """Return a server by id, or None."""
        return self._view.state.servers.by_id.get(server_id)

    def takes_requests(self, server):
        """Return whether the zone of a server is not evacuated."""
        return self._view.state.servers.takes_requests(server)

    async def call(self, server, call):
        """Forward one call and record its outcome.

        :param server: the BackendServer.
        :param call: the Call.
        :returns: a Reply, or a Refusal.
        """
        for service in server.serves:
            selector = self._selector(service)
            selector.record_call_start(server.id, server.incarnation, _now_s())
        call_result = server_selector.CallResult.UNKNOWN
        try:
            outcome = await self._client.call(server, call)
            call_result = self._result(server, outcome)
            return outcome
        finally:
            for service in server.serves:
                self._selector(service).record_call_end(
                    server.id, server.incarnation, call_result, _now_s()
                )

    def _result(self, server, outcome):
        """Return the CallResult of an outcome."""
        results = server_selector.CallResult
        match outcome:
            case result.Success(reply):
                if reply.status < FIRST_SERVER_ERROR_STATUS:
                    return results.SERVED
            case result.Failure(
                outcomes.Refusal(
                    reason=outcomes.Reason.BACKEND_FULL, of_server=False
                )
            ):
                # The call was held back because the server is cold.
                return results.UNKNOWN
            case result.Failure(outcomes.Refusal(of_server=False)) if (
                self._doubts(server) or not self.takes_requests(server)
            ):
                return results.UNKNOWN
            case result.Failure(
                outcomes.Refusal(reason=outcomes.Reason.BACKEND_FULL)
            ):
                return results.REJECTED
        return results.FAILED

    async def has_crashed(self, server):
        """Return whether a server has crashed, after a call to it failed."""
        return await self._client.has_crashed(server)

    def _selector(self, service):
        selector = self._selectors_by_service.get(service)
        if selector is None:
            selector = server_selector.ServerSelector(self._zone)
            self._selectors_by_service[service] = selector
        servers = self._view.state.servers
        version = servers.versions_by_served.get(service, 0)
        if self._versions_by_service.get(service) != version:
            self._versions_by_service[service] = version
            candidates = servers.by_served.get(service, {}).values()
            selector.update_servers(
                [s for s in candidates if s.kind == 'service']
            )
        return selector


def _now_s():
    return asyncio.get_running_loop().time()
