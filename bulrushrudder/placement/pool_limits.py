"""Limits of the engines of a model on the requests of all VMs."""

from bulrushrudder.backpressure import rate_limiter


class PoolLimits:
    """Applies reported limits to the grants of a coordinator.

    :param prefills: the PrefillPool.
    :param decodes: the DecodePool.
    :ivar limiter: the RateLimiter.
    """

    def __init__(self, prefills, decodes):
        self._prefills = prefills
        self._decodes = decodes
        self.limiter = rate_limiter.RateLimiter()

    def update(self, event, now_s):
        """Apply a LimitReported event."""
        known = self._decodes.by_id.get(event.server)
        known = known or self._prefills.by_id.get(event.server)
        if known and known.server.incarnation != event.incarnation:
            return
        self.limiter.update(
            event.server, event.incarnation, event.requests_per_s, now_s
        )

    def update_servers(self, servers):
        """Forget the limits of all other servers and incarnations."""
        self.limiter.retain({s.id: s.incarnation for s in servers})

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
                self.limiter.total_requests_per_s(self._decodes.by_id),
                self.limiter.total_requests_per_s(self._prefills.by_id),
            )
            if total is not None
        ]
        return queued / max(pace, min(totals)) if totals else 0.0

    def take(self, allocation, now_s):
        """Count the requests of an Allocation to limited servers."""
        self.limiter.take(allocation.decode, now_s)
        if allocation.prefill:
            self.limiter.take(allocation.prefill, now_s)
