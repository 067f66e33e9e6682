"""Paces the requests of all VMs to servers that are cold."""

import collections

from bulrushrudder.backpressure import rate_limiter
from bulrushrudder.placement import actions
from bulrushrudder.placement import events

# Grants are this share of the permits to send, so that requests that were
# granted evenly and sent less evenly still find permits.
GRANTS_SHARE = 0.9
# Time in which earlier requests still count against the bound.
BOUND_WINDOW_S = 1.0
# Grants of the last second that are kept by server.
MAX_RECENT = 64
OUT_OF_CONTACT = events.ContactChanged(False, False, False)


class ColdLimits:
    """Decides when cold servers get requests.

    Grants of places are paced, so that requests go elsewhere. Each request
    is counted again when it is about to be sent: it may come long after its
    grant, be a retry, or follow the grant of another coordinator.

    :param bounds: the ColdBounds, or None if nothing is known of cold
        servers.
    :ivar grants: the RateLimiter of grants.
    """

    def __init__(self, bounds):
        self._bounds = bounds
        self._contact = OUT_OF_CONTACT
        self._servers_by_id = {}
        self._recent_by_id = {}
        self.grants = rate_limiter.RateLimiter(credit_s=0.0)
        self._sends = rate_limiter.RateLimiter(credit_s=0.0)

    def update_servers(self, servers, now_s):
        """Apply which servers there are and which of them are cold.

        :param servers: the BackendServers.
        """
        if self._bounds is None:
            return
        self._servers_by_id = {
            server.id: server
            for server in servers
            if server.cold_requests_per_s > 0
        }
        self._recent_by_id = {
            server_id: self._recent_by_id.get(
                server_id, collections.deque(maxlen=MAX_RECENT)
            )
            for server_id in self._servers_by_id
        }
        incarnations = {s.id: s.incarnation for s in servers}
        self._sends.retain(incarnations)
        self._pace_grants(now_s)

    def update_contact(self, event, now_s):
        """Apply a ContactChanged event."""
        self._contact = event
        self._pace_grants(now_s)

    def take(self, server_id, now_s):
        """Count a grant."""
        if (recent := self._recent_by_id.get(server_id)) is not None:
            recent.append(now_s)
            self.grants.take(server_id, now_s)

    def decide(self, event, now_s):
        """Return a GrantCall or a DeferCall for a ColdCallRequested event."""
        pace = self._pace_of_call(event)
        if pace is None:
            return actions.GrantCall(event.call, event.server, 0.0)
        _set(self._sends, event.server, event.incarnation, pace, now_s)
        wait_s = self._sends.wait_s(event.server, now_s)
        if wait_s > event.max_wait_s:
            return actions.DeferCall(event.call, wait_s)
        self._sends.take(event.server, now_s)
        return actions.GrantCall(event.call, event.server, wait_s)

    def _pace_of_call(self, event):
        """Return the pace for a server, None without one.

        The stricter of what the sender and this coordinator know holds.
        """
        known = self._servers_by_id.get(event.server)
        if self._bounds is None:
            return None
        if known is None or event.cold:
            return self._cold_pace(event.requests_per_s)
        return self._pace(known)

    def _pace(self, server):
        """Return the pace of a server, None if it is known to be warm."""
        requests_per_s = server.cold_requests_per_s
        if server.cold:
            return self._cold_pace(requests_per_s)
        if self._contact.heard:
            return None
        if self._contact.elected:
            return self._bounds.pace_in_charge(requests_per_s)
        return self._bounds.pace_beside(requests_per_s)

    def _cold_pace(self, requests_per_s):
        if self._contact.sole:
            return self._bounds.pace_in_charge(requests_per_s)
        return self._bounds.pace_of_others(requests_per_s)

    def _pace_grants(self, now_s):
        paces_by_id = {
            server.id: pace
            for server in self._servers_by_id.values()
            if (pace := self._pace(server)) is not None
        }
        self.grants.retain(
            {i: self._servers_by_id[i].incarnation for i in paces_by_id}
        )
        for server_id, pace in paces_by_id.items():
            server = self._servers_by_id[server_id]
            turned = self.grants.requests_per_s(server_id) is None
            _set(
                self.grants,
                server_id,
                server.incarnation,
                pace * GRANTS_SHARE,
                now_s,
            )
            if turned and server.cold:
                self._hold_back(server_id, pace, now_s)

    def _hold_back(self, server_id, pace, now_s):
        """Hold a server back that was granted too often until it turned."""
        recent = self._recent_by_id[server_id]
        since_s = now_s - BOUND_WINDOW_S
        if sum(granted_s > since_s for granted_s in recent) > pace:
            self.grants.hold(server_id, now_s + BOUND_WINDOW_S)


class Pacing:
    """Several RateLimiters that apply together.

    :param limiters: the RateLimiters.
    """

    def __init__(self, *limiters):
        self._limiters = limiters

    def limited(self, candidates):
        """Return the ids of the candidates that have a limit.

        :param candidates: collection with membership test by id.
        """
        limited = set()
        for limiter in self._limiters:
            limited.update(limiter.limited(candidates))
        return limited

    def total_requests_per_s(self, candidates):
        """Return the sum of the limits, None if a candidate has none.

        :param candidates: collection of ids.
        """
        limited = self.limited(candidates)
        if not limited or len(limited) < len(candidates):
            return None
        return sum(
            max(rate_limiter.MIN_REQUESTS_PER_S, self._lowest(server_id))
            for server_id in limited
        )

    def wait_s(self, server_id, now_s):
        """Return the seconds until a server may get a request."""
        return max(
            limiter.wait_s(server_id, now_s) for limiter in self._limiters
        )

    def _lowest(self, server_id):
        rates = (
            limiter.requests_per_s(server_id) for limiter in self._limiters
        )
        return min(rate for rate in rates if rate is not None)


def _set(limiter, server_id, incarnation, requests_per_s, now_s):
    """Set a limit, unless it is in force already."""
    if not limiter.is_set(server_id, incarnation, requests_per_s):
        limiter.update(server_id, incarnation, requests_per_s, now_s)
