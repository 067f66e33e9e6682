"""Tracks the leases that backend servers renew by announcements."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import servers

LEASE_S = 3.0
# Twice the time between two ticks. Without an event for longer, this
# process stood still and could not hear the servers.
STANDSTILL_S = 1.0
# A server that is recorded as cold may be so without its knowledge of this
# process, as after the restoration of its zone. An announcement that was
# sent before that arrives within this time, the servers' timeout.
COLD_CONFIRMATION_S = 1.0
# The change to cold or warm is proposed again after this time, less than
# the time between two announcements, if it was not committed.
COLD_REPEAT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """A backend server announced itself or renewed its lease.

    :param leaving: whether the server leaves permanently.
    :param sequence: increases with each announcement of an incarnation,
        so that reordered ones are ignored. 0 if the server does not
        number its announcements.
    """

    server: servers.BackendServer
    leaving: bool
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Departed:
    """A backend server left permanently."""

    id: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Propose a command to the log."""

    command: servers.JoinServer | servers.LeaveServer | servers.LoseServer


class Tracker:
    """Turns announcements into commands that add or remove servers.

    Renewals are kept in memory; only changes become commands. A server
    that left never returns under the same incarnation; one whose lease
    expired returns with its next announcement. A new Tracker starts
    with a full lease for every server. A standstill of this process does
    not use up leases: announcements that arrived meanwhile are not read
    before its next tick.

    A server that an earlier leader has excluded rejects requests until it
    has changed its kind. A new leader keeps it out until it announces the
    new kind or the whole time has passed once more.

    :param exclusions: the LoseServer commands of excluded servers.
    :param now_s: monotonic seconds.
    """

    def __init__(self, exclusions=(), now_s=0.0):
        self._renewed_s_by_id: dict[ids.ServerId, float] = {}
        self._sequence_by_incarnation: dict[tuple[ids.ServerId, int], int] = {}
        self._proposed_s_by_command = {}
        self._excluded_until_s_by_id = {
            excluded.id: now_s + excluded.excluded_s for excluded in exclusions
        }
        self._inherited_by_id = {
            excluded.id: excluded for excluded in exclusions
        }
        self._cold_since_s_by_id = {}
        self._last_event_s = None

    def exclude(self, server_id, until_s):
        """Ignore announcements of a server, except that it leaves.

        :param until_s: monotonic seconds.
        """
        self._inherited_by_id.pop(server_id, None)
        self._excluded_until_s_by_id[server_id] = until_s

    def renew_all(self, now_s):
        """Give every server a full lease."""
        self._renewed_s_by_id = dict.fromkeys(self._renewed_s_by_id, now_s)

    def readmit(self, server_id):
        """Accept announcements of an excluded server again."""
        self._inherited_by_id.pop(server_id, None)
        self._excluded_until_s_by_id.pop(server_id, None)

    def handle(self, event, servers_by_id, now_s):
        """Handle an event and return the commands to propose.

        :param servers_by_id: the servers in the replicated state.
        :param now_s: monotonic seconds.
        """
        self._extend_leases_after_standstill(now_s)
        match event:
            case (
                Announced(
                    server=servers.BackendServer(
                        id=server_id, incarnation=number
                    ),
                    leaving=True,
                )
                | Departed(id=server_id, incarnation=number)
            ):
                return self._leave(server_id, number, servers_by_id)
            case Announced(server=server, sequence=sequence):
                if self._is_outdated(server, sequence):
                    return []
                return self._renew(server, servers_by_id, now_s)
            case Ticked():
                self._observe_cold(servers_by_id, now_s)
                return self._expire(servers_by_id, now_s)
        raise AssertionError(f'unknown event {event!r}')

    def _extend_leases_after_standstill(self, now_s):
        last_s, self._last_event_s = self._last_event_s, now_s
        if last_s is None or now_s - last_s <= STANDSTILL_S:
            return
        self._renewed_s_by_id = {
            server_id: renewed_s + now_s - last_s
            for server_id, renewed_s in self._renewed_s_by_id.items()
        }

    def _leave(self, server_id, incarnation, servers_by_id):
        """Propose a leave, even if the server is absent.

        Its join may be in flight or arrive late, and an earlier proposal
        may have failed.
        """
        known = servers_by_id.get(server_id)
        if known is not None and known.incarnation > incarnation:
            return []
        return [ProposeCommand(servers.LeaveServer(server_id, incarnation))]

    def _is_outdated(self, server, sequence):
        key = server.id, server.incarnation
        if sequence and sequence <= self._sequence_by_incarnation.get(key, 0):
            return True
        self._sequence_by_incarnation[key] = sequence
        return False

    def _renew(self, server, servers_by_id, now_s):
        known = servers_by_id.get(server.id)
        if known and known.incarnation > server.incarnation:
            return []
        self._renewed_s_by_id[server.id] = now_s
        if self._has_completed_change(server):
            self.readmit(server.id)
        if known and known.incarnation == server.incarnation:
            server = self._with_cold(server, known, now_s)
        if known == server or self._is_excluded(server.id, now_s):
            return []
        interval_s = LEASE_S
        if servers.turns(known, server):
            interval_s = COLD_REPEAT_S
            if not server.cold:
                self._cold_since_s_by_id.pop(server.id, None)
        return self._propose(servers.JoinServer(server), now_s, interval_s)

    def _observe_cold(self, servers_by_id, now_s):
        """Note since when servers have been recorded as cold."""
        self._cold_since_s_by_id = {
            server.id: self._cold_since_s_by_id.get(server.id, now_s)
            for server in servers_by_id.values()
            if server.cold
        }

    def _with_cold(self, server, known, now_s):
        """Return an announced server with what counts as its state.

        A process of a version that does not know of cold servers announces
        nothing about it, so that the record stays.
        """
        if server.cold is None and known.cold is not None:
            return dataclasses.replace(
                server,
                cold=known.cold,
                cold_requests_per_s=known.cold_requests_per_s,
            )
        if not known.cold or server.cold:
            return server
        since_s = self._cold_since_s_by_id.setdefault(server.id, now_s)
        if now_s - since_s < COLD_CONFIRMATION_S:
            return dataclasses.replace(server, cold=True)
        return server

    def _has_completed_change(self, server):
        """Return whether a server excluded earlier has another kind now.

        A restart also ends its change of kind.
        """
        excluded = self._inherited_by_id.get(server.id)
        return excluded is not None and (
            server.kind != excluded.kind
            or server.incarnation != excluded.incarnation
        )

    def _is_excluded(self, server_id, now_s):
        until_s = self._excluded_until_s_by_id.get(server_id, 0.0)
        if now_s < until_s:
            return True
        self._excluded_until_s_by_id.pop(server_id, None)
        return False

    def _expire(self, servers_by_id, now_s):
        self._drop_expired(servers_by_id, now_s)
        proposals = []
        for server in servers_by_id.values():
            renewed_s = self._renewed_s_by_id.setdefault(server.id, now_s)
            if now_s - renewed_s > LEASE_S:
                lose = servers.LoseServer(server.id, server.incarnation)
                proposals += self._propose(lose, now_s)
        return proposals

    def _propose(self, command, now_s, interval_s=LEASE_S):
        """Propose a command at most once in an interval.

        Limits the log entries caused by a server whose announcements
        are rejected each time.
        """
        proposed_s = self._proposed_s_by_command.get(command)
        if proposed_s is not None and now_s - proposed_s < interval_s:
            return []
        self._proposed_s_by_command[command] = now_s
        return [ProposeCommand(command)]

    def _drop_expired(self, servers_by_id, now_s):
        cutoff_s = now_s - LEASE_S
        self._renewed_s_by_id = {
            server_id: renewed_s
            for server_id, renewed_s in self._renewed_s_by_id.items()
            if server_id in servers_by_id or renewed_s > cutoff_s
        }
        self._sequence_by_incarnation = {
            key: sequence
            for key, sequence in self._sequence_by_incarnation.items()
            if key[0] in self._renewed_s_by_id
        }
        self._proposed_s_by_command = {
            command: proposed_s
            for command, proposed_s in self._proposed_s_by_command.items()
            if proposed_s > cutoff_s
        }
