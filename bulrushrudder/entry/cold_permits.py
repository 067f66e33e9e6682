"""Permits to send requests to servers that are or may be cold."""

import asyncio
import math

from returns import result

from bulrushrudder.backpressure import cold_pace
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.placement import contacts
from bulrushrudder.protocol import place_messages

# A decode server must fetch the result of a prefill within 0.5 s.
MAX_WAIT_S = 0.25
# Two questions, of which the first goes to a coordinator that is gone.
PERMIT_TIMEOUT_S = 0.9
ATTEMPTS = 2
LOG_INTERVAL_S = 1.0


class ColdPermits:
    """Asks the coordinator before a request is sent to a cold server.

    Each request passes here right before it is sent, whichever way it took:
    a first try, a retry, a stream that is resumed, a rerouted decode.

    :param view: the View of the log.
    :param coordinator_client: the CoordinatorClient.
    :param bounds: the ColdBounds, or None if nothing is known of cold
        servers.
    :param count_held_back: function to call for each request that was not
        permitted.
    """

    def __init__(self, view, coordinator_client, bounds, count_held_back):
        self._view = view
        self._coordinator_client = coordinator_client
        self._bounds = bounds
        self._count_held_back = count_held_back
        self._held_back = 0
        self._logged_s = -math.inf

    async def ask(self, server):
        """Wait until a request may be sent to a server.

        :param server: the BackendServer.
        :returns: the seconds of the loop's clock after which it must not be
            sent, or None if it may not be sent.
        """
        if self._bounds is None:
            return math.inf
        present = self._view.state.servers.by_id.get(server.id)
        current = present or server
        if not current.cold_requests_per_s:
            return math.inf
        cold = present is None or bool(present.cold)
        if not cold and self._view.age_s(_now_s()) <= contacts.UNHEARD_S:
            return math.inf
        try:
            async with asyncio.timeout(PERMIT_TIMEOUT_S):
                until_s = await self._ask_coordinator(current, cold)
        except TimeoutError:
            until_s = None
        if until_s is None:
            self._record_held_back(server)
        return until_s

    async def _ask_coordinator(self, server, cold):
        model = server.serves[0]
        limit = place_messages.ReportLimit(
            model,
            server.id,
            server.incarnation,
            None,
            server.cold_requests_per_s,
            cold,
        )
        request = place_messages.CallRequest(model, (limit,), MAX_WAIT_S)
        for _ in range(ATTEMPTS):
            asked_s = _now_s()
            match await self._coordinator_client.request_call(request):
                case result.Success(place_messages.CallGranted(wait_s=wait_s)):
                    await asyncio.sleep(wait_s)
                    until_s = asked_s + wait_s + cold_pace.MAX_LATENESS_S
                    if _now_s() <= until_s:
                        return until_s
                case result.Success(place_messages.CallDeferred()):
                    return None
        return None

    def _record_held_back(self, server):
        self._count_held_back()
        self._held_back += 1
        if _now_s() - self._logged_s < LOG_INTERVAL_S:
            return
        log.emit(
            catalogue.COLD_CALL_HELD_BACK,
            server=server.id,
            requests=self._held_back,
            view_age_ms=self._view.age_ms(_now_s()),
        )
        self._logged_s = _now_s()
        self._held_back = 0


def _now_s():
    return asyncio.get_running_loop().time()
