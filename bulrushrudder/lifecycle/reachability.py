"""Tracks backend servers that this process recently failed to reach.

A crashed server is chosen by placement until its announcement expires;
each process avoids it sooner because of its own failures to connect.
"""

import collections
import dataclasses

AVOIDANCE_PERIOD_S = 3.0
MAX_AVOIDED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """A failure to connect to one incarnation of a server."""

    incarnation: int
    expires_s: float


class Reachability:
    """Recent failures to connect to backend servers."""

    def __init__(self):
        self._failures_by_id = {}

    def record_failure(self, server, now_s):
        """Record that connecting to a server failed.

        :param server: the BackendServer.
        :param now_s: monotonic seconds.
        """
        self._failures_by_id[server.id] = _Failure(
            server.incarnation, now_s + AVOIDANCE_PERIOD_S
        )

    def servers_to_avoid(self, candidates, now_s):
        """Return the ids of servers to exclude from placement.

        If all candidates of a kind failed, none of that kind is
        excluded.

        :param candidates: the BackendServers that can serve the request.
        :param now_s: monotonic seconds.
        """
        self._remove_expired(now_s)
        if not self._failures_by_id:
            return ()
        failed_ids_by_kind = collections.defaultdict(list)
        available_kinds = set()
        for server in candidates:
            if self._has_failed(server):
                failed_ids_by_kind[server.kind].append(server.id)
            else:
                available_kinds.add(server.kind)
        avoided_ids = [
            server_id
            for kind, server_ids in failed_ids_by_kind.items()
            if kind in available_kinds
            for server_id in server_ids
        ]
        return tuple(avoided_ids[:MAX_AVOIDED])

    def _has_failed(self, server):
        failure = self._failures_by_id.get(server.id)
        return failure is not None and (
            failure.incarnation == server.incarnation
        )

    def _remove_expired(self, now_s):
        ended = [
            server_id
            for server_id, failure in self._failures_by_id.items()
            if failure.expires_s <= now_s
        ]
        for server_id in ended:
            del self._failures_by_id[server_id]
