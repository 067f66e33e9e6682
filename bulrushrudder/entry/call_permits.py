"""Chooses the server of a call to a plain service, within all limits."""

import asyncio

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.core import units
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.protocol import place_messages

# Share of the time left to a call that it may wait for a limited server.
MAX_WAIT_SHARE = 0.25
MAX_WAIT_S = 1.0
UNREACHABLE_RETRY_AFTER_S = 0.5
MIN_RETRY_AFTER_S = 0.05
# A grant is used at most this long after its time. Later ones, as after a
# pause, would be used together.
MAX_LATENESS_S = 1.0
NO_SERVER = outcomes.not_run(
    outcomes.Reason.NO_SERVER, 'no backend server of the service is up', 1.0
)


class CallPermits:
    """Chooses servers; for limited ones, asks the service's coordinator.

    :param router: the ServiceRouter.
    :param monitor: the BackpressureMonitor.
    :param coordinator_client: the CoordinatorClient.
    """

    def __init__(self, router, monitor, coordinator_client):
        self._router = router
        self._monitor = monitor
        self._coordinator_client = coordinator_client

    async def choose(self, service, call, tried):
        """Return the server of a call once the call may be sent to it.

        :param tried: ids of servers that this call was sent to before.
        :returns: the BackendServer, or a Refusal.
        """
        by_id = self._router.servers(service)
        unavailable = self._monitor.unavailable(by_id)
        candidates = self._router.candidates(
            service, tried, unavailable, len(call.body)
        )
        if not candidates:
            return self._none_available([by_id[u] for u in unavailable])
        if self._monitor.requests_per_s(candidates[0]) is None:
            return result.Success(candidates[0])
        limited, unlimited = self._split(candidates)
        max_wait_s = 0.0 if unlimited else self._max_wait_s(call)
        asked_s = _now_s()
        answer = await self._ask(service, limited, max_wait_s)
        match answer:
            case place_messages.CallGranted(server=server_id, wait_s=wait_s):
                await asyncio.sleep(wait_s)
                if _now_s() - asked_s > wait_s + MAX_LATENESS_S:
                    return await self.choose(service, call, tried)
                server = self._router.server(server_id)
                if server and server_id not in self._router.servers(service):
                    # Its zone was evacuated meanwhile.
                    return await self.choose(service, call, tried)
                if server is not None and self._monitor.takes_work(server):
                    return result.Success(server)
                return result.Failure(NO_SERVER)
            case _ if unlimited:
                return result.Success(unlimited[0])
            case place_messages.CallDeferred(retry_after_s=retry_after_s):
                return _deferred(call, service, retry_after_s)
        return _deferred(call, service, UNREACHABLE_RETRY_AFTER_S)

    def _none_available(self, unavailable):
        """Return the Refusal of a call that no server takes now."""
        retry_after_s = self._monitor.retry_after_s(unavailable)
        if retry_after_s is None:
            return result.Failure(NO_SERVER)
        return result.Failure(
            outcomes.not_run(
                outcomes.Reason.NO_SERVER,
                'all backend servers of the service asked for a pause',
                max(MIN_RETRY_AFTER_S, retry_after_s),
            )
        )

    def _split(self, candidates):
        """Return the servers with a limit, and those without one."""
        limited = []
        unlimited = []
        for server in candidates:
            if self._monitor.requests_per_s(server) is None:
                unlimited.append(server)
            else:
                limited.append(server)
        return limited, unlimited

    def _max_wait_s(self, call):
        left_s = call.deadline_s - _now_s()
        return max(0.0, min(MAX_WAIT_S, left_s * MAX_WAIT_SHARE))

    async def _ask(self, service, limited, max_wait_s):
        """Ask the coordinator, or the one that takes over from it.

        :returns: a CallGranted or CallDeferred message, or None.
        """
        limits = tuple(
            place_messages.ReportLimit(
                service,
                server.id,
                server.incarnation,
                self._monitor.requests_per_s(server),
            )
            for server in limited
        )
        request = place_messages.CallRequest(service, limits, max_wait_s)
        for _ in range(2):
            match await self._coordinator_client.request_call(request):
                case result.Success(
                    place_messages.CallGranted()
                    | place_messages.CallDeferred() as answer
                ):
                    return answer
        return None


def _now_s():
    return asyncio.get_running_loop().time()


def _deferred(call, service, retry_after_s):
    log.emit(
        catalogue.CALL_DEFERRED,
        request=call.request_id,
        service=service,
        retry_after_ms=round(retry_after_s * units.MS_PER_SECOND),
    )
    return result.Failure(
        outcomes.not_run(
            outcomes.Reason.NO_SERVER,
            'all backend servers of the service limit their requests',
            retry_after_s,
        )
    )
