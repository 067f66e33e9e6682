"""Selection of a backend server for a call to a plain service."""

import dataclasses
import enum

from bulrushrudder.core import ids
from bulrushrudder.placement import load_index

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
CROSS_ZONE_COST_CALLS = 4
CANDIDATES_PER_ZONE = 2
# Weight of one call in the failure share of its server. A VM of a large
# fleet makes one or two calls a second to a service, so that the share has
# to follow from very few of them.
FAILURE_EWMA_WEIGHT = 0.3
FAILURE_HALF_LIFE_S = 5.0
# A call that fails has lost its caller's time and may not be retried. One
# failure in a row outweighs the preference for the own zone for a second,
# two for four seconds.
FAILING_SERVER_COST_CALLS = 16.0
# A full server has room again when its queue is shorter, after some tenths
# of a second; the pause doubles with each further rejection in a row.
FIRST_REJECTION_PAUSE_S = 0.1
MAX_REJECTION_PAUSE_S = 1.0
REJECTING_SERVER_COST_CALLS = 8.0
# Below this share a server counts as sound again.
NEGLIGIBLE_FAILURE_SHARE = 0.02


class CallResult(enum.Enum):
    """Result of a call, as far as it says something about its server.

    A server that REJECTED a call has not run it, so that it can go to
    another one; a call that FAILED may have to fail for its caller.
    """

    SERVED = 'served'
    REJECTED = 'rejected'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class _Server:
    """State of a server as tracked by this VM.

    :param calls: outstanding calls from this VM.
    :param failures: consecutive failed calls.
    :param ejections: consecutive ejections.
    :param ejected_until_s: monotonic seconds until which it gets no call.
    :param present: whether it accepts new calls; outstanding calls are
        counted even if it does not.
    :param failure_share: share of its recent calls that failed, as of the
        last result.
    :param failure_updated_s: monotonic seconds of the last result.
    :param rejections: consecutive calls that it rejected.
    :param rejecting_until_s: monotonic seconds until which it is assumed
        to reject further calls.
    """

    incarnation: int
    zone: ids.Zone
    calls: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    present: bool = True
    failure_share: float = 0.0
    failure_updated_s: float = 0.0
    rejections: int = 0
    rejecting_until_s: float = 0.0

    def failure_share_at(self, now_s):
        """Return the failure share, decayed up to a time."""
        half_lives = (now_s - self.failure_updated_s) / FAILURE_HALF_LIFE_S
        return self.failure_share * 0.5**half_lives

    def record_rejection(self, now_s):
        """Avoid the server for a time, longer after each rejection."""
        pause_s = FIRST_REJECTION_PAUSE_S * 2**self.rejections
        self.rejecting_until_s = now_s + min(MAX_REJECTION_PAUSE_S, pause_s)
        self.rejections += 1

    def record_result(self, failed, now_s):
        """Update the failure share with the result of a call."""
        share = self.failure_share_at(now_s)
        self.failure_share = share + (failed - share) * FAILURE_EWMA_WEIGHT
        self.failure_updated_s = now_s


class ServerSelector:
    """Selects by fewest outstanding calls, with a preference for its zone.

    A server that fails part of its calls gets fewer, by the share that
    failed lately. It ends calls sooner than a sound one, so that by its
    outstanding calls alone it would get the most.

    A server that fails FAILURES_TO_EJECT times in a row is ejected for
    a while and then gets one trial call. If all servers are ejected, the
    first to be readmitted is chosen, so that a call is never refused
    while a server is up.

    :param zone: of this VM.
    :param spread: the ZoneSpread, which chooses the zone of each call; None
        to prefer the zone of this VM.
    """

    def __init__(self, zone, spread=None):
        self._zone = zone
        self._spread = spread
        self._servers_by_id = {}
        self._on_probation = set()
        # Servers whose failure share counts.
        self._failing = set()
        self._indexes_by_zone = {}

    def update_servers(self, servers):
        """Update the current servers of the service."""
        present = {server.id: server for server in servers}
        for server_id, known in tuple(self._servers_by_id.items()):
            if server_id not in present:
                known.present = False
                self._retire(server_id)
        for server in servers:
            known = self._servers_by_id.get(server.id)
            if known is None or known.incarnation != server.incarnation:
                self._retire(server.id)
                known = _Server(server.incarnation, server.zone)
                self._servers_by_id[server.id] = known
            known.present = True
            self._update_index(server.id, 0.0)

    def calls(self, server_id):
        """Return the outstanding calls of this VM to a server."""
        known = self._servers_by_id.get(server_id)
        return known.calls if known else 0

    def choose(self, now_s, tried=()):
        """Choose a server for a call.

        :param tried: ids of servers already tried for the call.
        :returns: the id of the server, or None if there is none.
        """
        return next(iter(self.ranked(now_s, tried)), None)

    def ranked(self, now_s, tried=(), unavailable=(), size=0):
        """Return the ids of some servers for a call, the best one first.

        :param tried: ids of servers already tried for the call.
        :param unavailable: ids of servers that take no call.
        :param size: bytes that the call sends.
        """
        passed_over = {*tried, *unavailable}
        self._drop_recovered(now_s)
        further = len(passed_over) + len(self._failing)
        for server_id in self._on_probation:
            self._update_index(server_id, now_s)
        candidates = [
            server_id
            for index in self._indexes_by_zone.values()
            for server_id in index.lowest(CANDIDATES_PER_ZONE + further)
            if server_id not in passed_over
        ]
        if not candidates and not tried:
            candidates = self._first_to_be_readmitted(unavailable)
        if self._spread is None:
            return sorted(
                candidates, key=lambda server_id: self._cost(server_id, now_s)
            )
        # A further try goes where room is, from the VM's zone outwards.
        home = self._zone if tried else self._spread.draw(size, now_s)
        return sorted(
            candidates,
            key=lambda server_id: self._spread_cost(server_id, home, now_s),
        )

    def record_call_start(self, server_id, incarnation, now_s):
        """Record that a call is sent to a server."""
        known = self._servers_by_id.get(server_id)
        if known is not None and known.incarnation == incarnation:
            known.calls += 1
            self._update_index(server_id, now_s)

    def record_call_end(self, server_id, incarnation, result, now_s):
        """Record the end of a call.

        :param result: the CallResult.
        """
        known = self._servers_by_id.get(server_id)
        if known is None or known.incarnation != incarnation:
            return
        known.calls -= 1
        if not known.present:
            self._retire(server_id)
            return
        match result:
            case CallResult.SERVED:
                known.record_result(False, now_s)
                known.failures = 0
                known.ejections = 0
                known.rejections = 0
                self._on_probation.discard(server_id)
            case CallResult.REJECTED:
                known.record_rejection(now_s)
            case CallResult.FAILED:
                known.record_result(True, now_s)
                self._record_failure(server_id, known, now_s)
        self._update_index(server_id, now_s)

    def _drop_recovered(self, now_s):
        """Forget failure shares that have become negligible."""
        for server_id in tuple(self._failing):
            known = self._servers_by_id[server_id]
            if known.failure_share_at(now_s) < NEGLIGIBLE_FAILURE_SHARE:
                known.failure_share = 0.0
                self._failing.discard(server_id)

    def _record_failure(self, server_id, known, now_s):
        self._failing.add(server_id)
        known.failures += 1
        on_probation = server_id in self._on_probation
        if known.failures < FAILURES_TO_EJECT and not on_probation:
            return
        ejection_s = FIRST_EJECTION_S * 2**known.ejections
        known.ejected_until_s = now_s + min(MAX_EJECTION_S, ejection_s)
        known.ejections += 1
        self._on_probation.add(server_id)

    def _update_index(self, server_id, now_s):
        """Index a server by its calls, or hide it during ejection or trial."""
        known = self._servers_by_id[server_id]
        index = self._zone_index(known.zone)
        busy = known.calls > 0 or now_s < known.ejected_until_s
        if server_id in self._on_probation and busy:
            index.remove(server_id)
        else:
            index.set(server_id, self._load(server_id, known))

    def _retire(self, server_id):
        """Stop choosing a server; forget it when no call is outstanding."""
        known = self._servers_by_id.get(server_id)
        if known is None:
            return
        self._on_probation.discard(server_id)
        self._failing.discard(server_id)
        self._zone_index(known.zone).remove(server_id)
        if known.calls == 0 or known.present:
            del self._servers_by_id[server_id]

    def _first_to_be_readmitted(self, unavailable):
        readmissions = [
            (known.ejected_until_s, server_id)
            for server_id, known in self._servers_by_id.items()
            if known.present and server_id not in unavailable
        ]
        return [min(readmissions)[1]] if readmissions else []

    def _load(self, server_id, known):
        """Return the load of a server in the index of its zone."""
        if self._spread is None:
            return known.calls
        return known.calls, -self._spread.weight(server_id)

    def _spread_cost(self, server_id, home, now_s):
        """Return the key of a server if a zone should serve the call."""
        known = self._servers_by_id[server_id]
        return (
            self._cost_calls(known, home, now_s),
            self._spread.order(known.zone),
            -self._spread.weight(server_id),
        )

    def _cost(self, server_id, now_s):
        known = self._servers_by_id[server_id]
        return self._cost_calls(known, self._zone, now_s), server_id

    def _cost_calls(self, known, home, now_s):
        """Return the cost of a server in calls.

        :param home: zone whose servers cost nothing extra.
        """
        other = 0 if known.zone == home else CROSS_ZONE_COST_CALLS
        failing = known.failure_share_at(now_s) * FAILING_SERVER_COST_CALLS
        if now_s < known.rejecting_until_s:
            failing += REJECTING_SERVER_COST_CALLS
        return known.calls + other + failing

    def _zone_index(self, zone):
        index = self._indexes_by_zone.get(zone)
        if index is None:
            index = load_index.LoadIndex()
            self._indexes_by_zone[zone] = index
        return index
