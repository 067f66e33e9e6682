"""Backend servers that this process could not reach lately.

A server that has crashed goes on getting places until its announcement
runs out; each process learns faster from its own failures.
"""

import collections
import dataclasses

AVOIDANCE_PERIOD_S = 3.0
MAX_AVOIDED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """A run of a server that could not be reached."""

    incarnation: int
    expires_s: float


class Reachability:
    """Remembers failures to connect, for a short time."""

    def __init__(self):
        self._failures_by_id = {}

    def failed(self, server, now_s):
        """Take note that no connection to a server came about.

        :param server: the BackendServer.
        :param now_s: monotonic seconds.
        """
        self._failures_by_id[server.id] = _Failure(
            server.incarnation, now_s + AVOIDANCE_PERIOD_S
        )

    def avoided(self, candidates, now_s):
        """Return ids of servers that a request should not get.

        A kind of which every candidate failed is not avoided at all.

        :param candidates: the BackendServers that could serve it.
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
