"""Routes calls of plain services to backend servers."""

import asyncio

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.entry import zone_reports
from bulrushrudder.entry import zone_traffic
from bulrushrudder.placement import crossing
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
    :param reports: the ZoneReports, which spread calls over zones.
    :param metrics: the EntryMetrics; None to count nothing.
    """

    def __init__(
        self,
        view,
        zone,
        client,
        doubts=lambda server: False,
        reports=None,
        metrics=None,
    ):
        self._reports = reports or zone_reports.ZoneReports(
            '', zone, crossing.FIXED
        )
        self._metrics = metrics
        self._doubts = doubts
        self._view = view
        self._zone = zone
        self._client = client
        self._selectors_by_service = {}
        self._versions_by_service = {}

    def candidates(self, service, tried=(), unavailable=(), size=0):
        """Return servers for a call to a service, the best one first.

        :param tried: ids of servers that this call was sent to before.
        :param unavailable: ids of servers that take no call.
        :param size: bytes that the call sends.
        """
        meter = self._reports.meter(service)
        if meter is not None and not tried:
            meter.record_asked(_now_s())
            size = max(size, meter.call_bytes)
        ranked = self._selector(service).ranked(
            _now_s(), tried, unavailable, size
        )
        by_id = self._view.state.servers.by_id
        return [by_id[server_id] for server_id in ranked if server_id in by_id]

    def servers(self, service):
        """Return the servers of a service by id."""
        return self._view.state.servers.by_served.get(service, {})

    def server(self, server_id):
        """Return a server by id, or None."""
        return self._view.state.servers.by_id.get(server_id)

    def known_selector(self, service):
        """Return the selector of a service, a new one if it is not in use.

        Nothing is kept of a new one.
        """
        return self._selectors_by_service.get(
            service
        ) or server_selector.ServerSelector(self._zone)

    def takes_requests(self, server):
        """Return whether the zone of a server is not evacuated."""
        return self._view.state.servers.takes_requests(server)

    async def call(self, server, call):
        """Forward one call and record its outcome.

        :param server: the BackendServer.
        :param call: the Call.
        :returns: a Reply, or a Refusal.
        """
        started_s = _now_s()
        self._record_start(server, call, started_s)
        call_result = server_selector.CallResult.UNKNOWN
        outcome = None
        try:
            outcome = await self._client.call(server, call)
            call_result = self._result(server, outcome)
            return outcome
        finally:
            for service in server.serves:
                self._selector(service).record_call_end(
                    server.id, server.incarnation, call_result, _now_s()
                )
            self._record_end(server, call, outcome, _now_s() - started_s)

    def _record_start(self, server, call, now_s):
        for service in server.serves:
            selector = self._selector(service)
            selector.record_call_start(server.id, server.incarnation, now_s)
            meter = self._reports.meter(service)
            if meter is not None:
                meter.record_start(server.id, now_s)
        if self._metrics is not None and server.zone != self._zone:
            reason = self._crossing_reason(server)
            self._metrics.count_crossing('call', reason)
            self._metrics.count_crossing_bytes('call', reason, len(call.body))

    def _record_end(self, server, call, outcome, took_s):
        """Record how long a call took, and how many bytes came back."""
        answer_size = size = None
        match outcome:
            case result.Success(reply):
                answer_size = len(reply.body)
                size = len(call.body) + answer_size
        for service in server.serves:
            meter = self._reports.meter(service)
            if meter is not None:
                meter.record_end(server.id, took_s, size, _now_s())
        if self._metrics is not None and server.zone != self._zone:
            reason = self._crossing_reason(server)
            self._metrics.count_crossing_bytes(
                'answer', reason, answer_size or 0
            )

    def _crossing_reason(self, server):
        """Return why a call goes to a server of another zone."""
        service = next(iter(server.serves), '')
        servers = self.servers(service).values()
        if all(known.zone != self._zone for known in servers):
            return zone_traffic.NO_SERVER
        return self._reports.reason(service, server.zone)

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
            selector = server_selector.ServerSelector(
                self._zone, self._reports.spread(service)
            )
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
