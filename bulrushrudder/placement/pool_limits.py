"""Limits of the engines of a model on the requests of all VMs."""

from bulrushrudder.backpressure import rate_limiter
from bulrushrudder.placement import call_limits
from bulrushrudder.placement import cold_limits
from bulrushrudder.placement import events


class PoolLimits:
    """Applies reported limits to the grants of a coordinator.

    :param prefills: the PrefillPool.
    :param decodes: the DecodePool.
    :param cold_bounds: the ColdBounds, or None.
    :ivar limiter: the RateLimiter of the limits that servers state.
    :ivar cold: the ColdLimits.
    :ivar pacing: both together, for grants.
    """

    def __init__(self, prefills, decodes, cold_bounds=None):
        self._prefills = prefills
        self._decodes = decodes
        self.limiter = rate_limiter.RateLimiter()
        self.cold = cold_limits.ColdLimits(cold_bounds)
        self.pacing = cold_limits.Pacing(self.limiter, self.cold.grants)

    def handle(self, event, return_times, now_s):
        """Handle an event about limits and return the resulting actions.

        :param return_times: the ReturnTimes of the coordinator.
        :param now_s: monotonic seconds.
        """
        match event:
            case events.LimitReported():
                self._update(event, now_s)
            case events.ContactChanged():
                self.cold.update_contact(event, now_s)
            case events.ColdCallRequested():
                return [self.cold.decide(event, now_s)]
            case events.CallRequested():
                return [
                    call_limits.decide(
                        event, self.limiter, return_times, now_s
                    )
                ]
        return []

    def _update(self, event, now_s):
        """Apply a LimitReported event."""
        known = self._decodes.by_id.get(event.server)
        known = known or self._prefills.by_id.get(event.server)
        if known and known.server.incarnation != event.incarnation:
            return
        self.limiter.update(
            event.server, event.incarnation, event.requests_per_s, now_s
        )

    def update_servers(self, servers, now_s):
        """Forget the limits of all other servers and incarnations."""
        self.limiter.retain({s.id: s.incarnation for s in servers})
        self.cold.update_servers(servers, now_s)

    def backlog_s(self, queued, pace):
        """Return the seconds of work that is queued.

        It is 0 unless all servers of a kind are limited, because the work
        then goes to those without a limit.

        :param queued: number of queued requests.
        :param pace: measured grants per second; low after a take-over,
            when nothing has been granted yet.
        """
        totals = [
            total
            for total in (
                self.pacing.total_requests_per_s(self._decodes.by_id),
                self.pacing.total_requests_per_s(self._prefills.by_id),
            )
            if total is not None
        ]
        return queued / max(pace, min(totals)) if totals else 0.0

    def take(self, allocation, now_s):
        """Count the requests of an Allocation to limited servers."""
        for server_id in (allocation.decode, allocation.prefill):
            if server_id:
                self.limiter.take(server_id, now_s)
                self.cold.take(server_id, now_s)
