"""Paces the requests of a fleet to servers that state a limit."""

import dataclasses

# A server that states a limit of almost nothing still gets a request now
# and then, because only an answer tells that the limit has ended.
MIN_REQUESTS_PER_S = 0.1
# Requests that were due within this time and not sent may still be sent.
BURST_S = 0.5


@dataclasses.dataclass(slots=True)
class _Pace:
    """The pace of one incarnation of a server.

    :param requests_per_s: None if it is known to have no limit.
    :param due_s: monotonic seconds at which the next request is due.
    """

    incarnation: int
    requests_per_s: float | None
    due_s: float

    @property
    def interval_s(self):
        """Return the seconds between two requests."""
        return 1.0 / max(MIN_REQUESTS_PER_S, self.requests_per_s)


class RateLimiter:
    """Spaces requests to limited servers evenly, on behalf of all VMs.

    A limit starts without credit, so that a process that takes over does
    not add a burst to what its predecessor granted.

    :param credit_s: requests that were due within this time and not sent
        may still be sent, at most one of them.
    """

    def __init__(self, credit_s=BURST_S):
        self._credit_s = credit_s
        self._paces_by_id = {}

    @property
    def limits_by_id(self):
        """Return pairs of incarnation and limit by server.

        A limit of None states that the server has none.
        """
        return {
            server_id: (pace.incarnation, pace.requests_per_s)
            for server_id, pace in self._paces_by_id.items()
        }

    def update(self, server_id, incarnation, requests_per_s, now_s):
        """Set the limit of a server.

        :param requests_per_s: None if it has no limit.
        :param now_s: monotonic seconds.
        """
        pace = self._paces_by_id.get(server_id)
        if pace is not None and pace.incarnation > incarnation:
            return
        changed = _Pace(incarnation, requests_per_s, now_s)
        if requests_per_s is not None:
            changed.due_s = now_s + changed.interval_s
            if pace is not None and pace.incarnation == incarnation:
                changed.due_s = min(changed.due_s, pace.due_s)
        self._paces_by_id[server_id] = changed

    def knows(self, server_id, incarnation):
        """Return whether a limit or its absence is known for a server."""
        pace = self._paces_by_id.get(server_id)
        return pace is not None and pace.incarnation >= incarnation

    def retain(self, incarnations_by_id):
        """Forget all other servers and incarnations."""
        self._paces_by_id = {
            server_id: pace
            for server_id, pace in self._paces_by_id.items()
            if incarnations_by_id.get(server_id) == pace.incarnation
        }

    def limited(self, candidates):
        """Return the ids of the candidates that have a limit.

        :param candidates: collection with membership test by id.
        """
        return [
            server_id
            for server_id, pace in self._paces_by_id.items()
            if pace.requests_per_s is not None and server_id in candidates
        ]

    def total_requests_per_s(self, candidates):
        """Return the sum of the limits, None if a candidate has none.

        :param candidates: collection of ids.
        """
        limited = self.limited(candidates)
        if not limited or len(limited) < len(candidates):
            return None
        return sum(
            1.0 / self._paces_by_id[server_id].interval_s
            for server_id in limited
        )

    def requests_per_s(self, server_id):
        """Return the limit of a server, None without one."""
        pace = self._paces_by_id.get(server_id)
        return pace.requests_per_s if pace else None

    def is_set(self, server_id, incarnation, requests_per_s):
        """Return whether an incarnation of a server has this limit."""
        pace = self._paces_by_id.get(server_id)
        return (
            pace is not None
            and pace.incarnation == incarnation
            and pace.requests_per_s == requests_per_s
        )

    def hold(self, server_id, until_s):
        """Let a limited server get no request until a time."""
        pace = self._paces_by_id[server_id]
        pace.due_s = max(pace.due_s, until_s)

    def wait_s(self, server_id, now_s):
        """Return the seconds until a server may get a request."""
        pace = self._paces_by_id.get(server_id)
        if pace is None or pace.requests_per_s is None:
            return 0.0
        return max(0.0, pace.due_s - now_s)

    def take(self, server_id, now_s):
        """Count a request to a server, which is sent when it is due."""
        pace = self._paces_by_id.get(server_id)
        if pace is None or pace.requests_per_s is None:
            return
        earliest_s = now_s - min(self._credit_s, pace.interval_s)
        pace.due_s = max(pace.due_s, earliest_s) + pace.interval_s
