"""Decides on the way to each backend server: direct, or through a relay.

A server that this VM cannot connect to is asked for through relays, which
are other VMs. If one connects, the path of this VM is lost and the server
is used through relays until a direct connection succeeds. If one that
reaches other servers cannot connect either, the server is down.

All times are monotonic seconds. A server is known by a ServerKey.
"""

import dataclasses
import enum
import math

from bulrushrudder.core import ids

# A server that is down, or that no relay reaches, is not asked for through
# relays for this time.
DOWN_MEMORY_S = 1.0
# While no relay works, calls do not wait for the search that follows.
RENEWAL_S = 2.0
PROBE_INTERVAL_S = 1.0
# The direct path is probed only for servers that are in use.
IN_USE_S = 3.0
# A lost path that has not been used for this time is forgotten.
UNUSED_MEMORY_S = 10.0
# Direct connections in a row that break before an answer, within a time,
# after which relays are asked although connections open.
UNANSWERED_OF_A_CUT = 2
UNANSWERED_MEMORY_S = 3.0
# New paths lost in a row that make a VM cut off from all servers.
PATHS_OF_A_CUT = 2
MAX_PROBES = 4


class RelayProblem(enum.IntEnum):
    """Why a relay opened no tunnel; the numbers are sent."""

    SERVER_REFUSES = 1
    SERVER_SILENT = 2
    UNKNOWN_SERVER = 3
    STOPPING = 4
    PATH_LOST = 5
    BUSY = 6


@dataclasses.dataclass(frozen=True, slots=True)
class ServerKey:
    """One run of a backend server."""

    id: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class DirectOpened:
    """Event: a direct connection was opened."""

    server: ServerKey


@dataclasses.dataclass(frozen=True, slots=True)
class DirectWorks:
    """Event: a direct connection carried an answer, or lasted."""

    server: ServerKey


@dataclasses.dataclass(frozen=True, slots=True)
class DirectFailed:
    """Event: a probe did not connect, or did not last."""

    server: ServerKey


@dataclasses.dataclass(frozen=True, slots=True)
class DirectBroke:
    """Event: a direct connection broke before an answer."""

    server: ServerKey


@dataclasses.dataclass(frozen=True, slots=True)
class RelayOpened:
    """Event: a relay opened a tunnel.

    :param asked_s: when the server was asked for.
    :param direct_failed: whether a direct connection failed before.
    """

    server: ServerKey
    vm: ids.VmId
    asked_s: float
    direct_failed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FoundDown:
    """Event: a VM that reaches other servers cannot connect to this one.

    :param refused: whether the server refuses connections.
    """

    server: ServerKey
    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FoundNoRelay:
    """Event: no relay opened a tunnel, and none could say why."""

    server: ServerKey


Event = (
    DirectOpened
    | DirectWorks
    | DirectFailed
    | DirectBroke
    | RelayOpened
    | FoundDown
    | FoundNoRelay
)


@dataclasses.dataclass(frozen=True, slots=True)
class PathLost:
    """Action: record that a path was lost, and through which VM it goes."""

    server: ServerKey
    vm: ids.VmId


@dataclasses.dataclass(frozen=True, slots=True)
class PathRestored:
    """Action: record that a path is back, and drop its tunnels.

    :param lost_s: seconds for which it was lost.
    """

    server: ServerKey
    lost_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DirectFirst:
    """Plan: connect directly, and ask relays if that fails."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelaysFirst:
    """Plan: ask relays, and connect directly if none opens a tunnel."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectOnly:
    """Plan: connect directly; relays have just failed.

    :param confirmed: whether one of them reaches other servers.
    :param refused: whether the server refused its connections.
    """

    confirmed: bool
    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """Plan: give up; direct connections and relays have just failed.

    :param ask_again: whether relays are to be asked, for later calls.
    """

    ask_again: bool


Plan = DirectFirst | RelaysFirst | DirectOnly | Unreachable


@dataclasses.dataclass(slots=True)
class Relayed:
    """A server whose direct path is lost.

    :param since_s: when connecting to it first failed.
    :param used_s: when it was last asked for.
    :param probe_s: when the direct path is to be probed.
    :param confirmed: whether a direct connection has failed.
    :param no_relay_until_s: until when no relay is asked, as none opened a
        tunnel.
    """

    since_s: float
    used_s: float
    probe_s: float
    confirmed: bool
    no_relay_until_s: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Down:
    """A server that no relay connected to."""

    until_s: float
    confirmed: bool
    refused: bool


def is_of_server(relayed, tunnel_broke=False):
    """Return whether a server itself left a call without an answer.

    A lost path explains what happens on direct connections, and a lost
    relay a tunnel that breaks. Neither explains a server that is silent, or
    ends its connection, behind a tunnel that works.

    :param relayed: whether the call went through a tunnel.
    :param tunnel_broke: whether the tunnel broke on the way.
    """
    return relayed and not tunnel_broke


class Paths:
    """The paths of one VM to the backend servers.

    Servers with a sound path take no memory.
    """

    def __init__(self):
        self._by_server = {}
        self._broken_by_server = {}
        self._lost_in_a_row = set()
        self._cut_since_s = math.inf

    @property
    def lost(self):
        """Return the number of lost paths."""
        return sum(map(self.is_lost, self._by_server))

    @property
    def idle(self):
        """Return whether there is nothing to probe or to forget."""
        return not self._by_server and not self._broken_by_server

    def is_lost(self, server):
        """Return whether the direct path to a server is lost."""
        return isinstance(self._by_server.get(server), Relayed)

    def doubts(self, server):
        """Return whether a lost path can explain a failed call.

        Failures that are the server's own count in any case.
        """
        match self._by_server.get(server):
            case Relayed(confirmed=True):
                return True
        return self.is_cut_off()

    def plan(self, server, now_s):
        """Return the Plan for a server, which is in use from now on."""
        match self._by_server.get(server):
            case Relayed() as path:
                path.used_s = now_s
                expired_s = now_s - path.no_relay_until_s
                if path.confirmed and expired_s < RENEWAL_S:
                    return Unreachable(expired_s >= 0)
                if expired_s < 0:
                    return DirectOnly(False, False)
                return RelaysFirst()
            case Down() as path if now_s < path.until_s:
                return DirectOnly(path.confirmed, path.refused)
        if self.is_cut_off() or self._is_useless(server, now_s):
            return RelaysFirst()
        return DirectFirst()

    def may_relay(self, server, now_s):
        """Return whether this VM dials a server for another VM.

        It does so for a server that it takes as down: what it was told is
        not what it observes itself.
        """
        match self._by_server.get(server):
            case Relayed():
                return False
            case Down(confirmed=confirmed) as path if now_s < path.until_s:
                return confirmed
        return not (self.is_cut_off() or self._is_useless(server, now_s))

    def is_cut_off(self):
        """Return whether new paths fail one after the other."""
        return len(self._lost_in_a_row) >= PATHS_OF_A_CUT

    def breaks(self, server):
        """Return whether direct connections broke before an answer lately."""
        return server in self._broken_by_server

    def _is_useless(self, server, now_s):
        """Return whether direct connections open but carry no answer."""
        number, last_s = self._broken_by_server.get(server, (0, 0.0))
        return (
            number >= UNANSWERED_OF_A_CUT
            and now_s - last_s < UNANSWERED_MEMORY_S
        )

    def may_reuse(self, server, last_received_s):
        """Return whether an idle direct connection may carry a call.

        A connection on which something has arrived since the path was lost
        has a path of its own that works.

        :param last_received_s: when bytes last arrived on it.
        """
        match self._by_server.get(server):
            case Relayed(since_s=since_s):
                return last_received_s > since_s
        if self.is_cut_off():
            return last_received_s > self._cut_since_s
        return True

    def use_tunnel(self, server, now_s):
        """Return whether an idle tunnel may carry a call.

        A path whose tunnels are in use is probed.
        """
        match self._by_server.get(server):
            case Relayed() as path:
                path.used_s = now_s
                return True
        return False

    def handle(self, event, now_s):
        """Handle an event and return the actions that follow."""
        match event:
            case DirectOpened(server=server):
                return self._restore(server, now_s)
            case DirectWorks(server=server):
                self._broken_by_server.pop(server, None)
                return self._restore(server, now_s)
            case DirectFailed(server=server):
                path = self._by_server.get(server)
                if isinstance(path, Relayed):
                    path.confirmed = True
                return []
            case DirectBroke(server=server):
                number, _ = self._broken_by_server.get(server, (0, 0.0))
                self._broken_by_server[server] = number + 1, now_s
                return []
            case RelayOpened():
                return self._lose(event, now_s)
            case FoundDown(server=server, refused=refused):
                until_s = now_s + DOWN_MEMORY_S
                self._by_server[server] = Down(until_s, True, refused)
                self._forget_loss(server)
                return []
            case FoundNoRelay(server=server):
                until_s = now_s + DOWN_MEMORY_S
                match self._by_server.get(server):
                    case Relayed() as path:
                        path.no_relay_until_s = until_s
                    case _:
                        self._by_server[server] = Down(until_s, False, False)
                return []
        raise AssertionError(f'unknown event {event!r}')

    def due_probes(self, now_s):
        """Return the servers whose direct path is to be probed now.

        Paths that nobody uses are forgotten. A VM that is cut off probes
        MAX_PROBES paths an interval, the one that waited longest first.
        """
        self._forget_unused(now_s)
        due = [
            (path.probe_s, server.id, server)
            for server, path in self._by_server.items()
            if isinstance(path, Relayed)
            and path.probe_s <= now_s < path.used_s + IN_USE_S
        ]
        chosen = [server for _, _, server in sorted(due)[:MAX_PROBES]]
        for server in chosen:
            self._by_server[server].probe_s = now_s + PROBE_INTERVAL_S
        return chosen

    def _lose(self, event, now_s):
        path = self._by_server.get(event.server)
        if isinstance(path, Relayed):
            path.used_s = now_s
            path.no_relay_until_s = -math.inf
            return []
        probe_s = now_s
        if event.direct_failed:
            probe_s += PROBE_INTERVAL_S
            self._lost_in_a_row.add(event.server)
            self._cut_since_s = min(self._cut_since_s, event.asked_s)
        self._by_server[event.server] = Relayed(
            event.asked_s, now_s, probe_s, event.direct_failed
        )
        return [PathLost(event.server, event.vm)]

    def _restore(self, server, now_s):
        if self.is_cut_off():
            for path in self._by_server.values():
                if isinstance(path, Relayed):
                    path.probe_s = now_s
        self._lost_in_a_row.clear()
        self._cut_since_s = math.inf
        match self._by_server.pop(server, None):
            case Relayed(since_s=since_s):
                return [PathRestored(server, now_s - since_s)]
        return []

    def _forget_unused(self, now_s):
        for server, path in tuple(self._by_server.items()):
            match path:
                case Relayed(used_s=used_s):
                    ended = used_s + UNUSED_MEMORY_S <= now_s
                case Down(until_s=until_s):
                    ended = until_s <= now_s
            if ended:
                del self._by_server[server]
                self._forget_loss(server)
        for server, (_, last_s) in tuple(self._broken_by_server.items()):
            if last_s + UNANSWERED_MEMORY_S <= now_s:
                del self._broken_by_server[server]

    def _forget_loss(self, server):
        self._lost_in_a_row.discard(server)
        if not self._lost_in_a_row:
            self._cut_since_s = math.inf
