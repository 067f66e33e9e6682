"""Selection of a backend server for a call to a plain service."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.placement import load_index

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
CROSS_ZONE_COST_CALLS = 4
CANDIDATES_PER_ZONE = 2


@dataclasses.dataclass(slots=True)
class _Server:
    """State of a server as tracked by this VM.

    :param calls: outstanding calls from this VM.
    :param failures: consecutive failed calls.
    :param ejections: consecutive ejections.
    :param ejected_until_s: monotonic seconds until which it gets no call.
    :param present: whether it accepts new calls; outstanding calls are
        counted even if it does not.
    """

    incarnation: int
    zone: ids.Zone
    calls: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    present: bool = True


class ServerSelector:
    """Selects by fewest outstanding calls, with a preference for its zone.

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
        for server_id in self._on_probation:
            self._update_index(server_id, now_s)
        candidates = [
            server_id
            for index in self._indexes_by_zone.values()
            for server_id in index.lowest(
                CANDIDATES_PER_ZONE + len(passed_over)
            )
            if server_id not in passed_over
        ]
        if not candidates and not tried:
            candidates = self._first_to_be_readmitted(unavailable)
        if self._spread is None:
            return sorted(candidates, key=self._cost)
        # A further try goes where room is, from the VM's zone outwards.
        home = self._zone if tried else self._spread.draw(size, now_s)
        return sorted(candidates, key=lambda s: self._spread_cost(s, home))

    def record_call_start(self, server_id, incarnation, now_s):
        """Record that a call is sent to a server."""
        known = self._servers_by_id.get(server_id)
        if known is not None and known.incarnation == incarnation:
            known.calls += 1
            self._update_index(server_id, now_s)

    def record_call_end(self, server_id, incarnation, succeeded, now_s):
        """Record the end of a call.

        :param succeeded: whether the server succeeded; None if it is
            unknown.
        """
        known = self._servers_by_id.get(server_id)
        if known is None or known.incarnation != incarnation:
            return
        known.calls -= 1
        if not known.present:
            self._retire(server_id)
            return
        match succeeded:
            case True:
                known.failures = 0
                known.ejections = 0
                self._on_probation.discard(server_id)
            case False:
                self._record_failure(server_id, known, now_s)
        self._update_index(server_id, now_s)

    def _record_failure(self, server_id, known, now_s):
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

    def _spread_cost(self, server_id, home):
        """Return the key of a server if a zone should serve the call."""
        known = self._servers_by_id[server_id]
        other = 0 if known.zone == home else CROSS_ZONE_COST_CALLS
        return (
            known.calls + other,
            self._spread.order(known.zone),
            -self._spread.weight(server_id),
        )

    def _cost(self, server_id):
        known = self._servers_by_id[server_id]
        other = 0 if known.zone == self._zone else CROSS_ZONE_COST_CALLS
        return known.calls + other, server_id

    def _zone_index(self, zone):
        index = self._indexes_by_zone.get(zone)
        if index is None:
            index = load_index.LoadIndex()
            self._indexes_by_zone[zone] = index
        return index
