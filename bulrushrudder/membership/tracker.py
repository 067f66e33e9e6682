"""Which backend servers renew their announcements."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import servers

LEASE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """A backend server announced or renewed itself."""

    server: servers.BackendServer
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Asks that a command is committed."""

    command: servers.JoinServer | servers.LeaveServer


class Tracker:
    """Turns announcements into joins and leaves.

    Renewals stay here; only changes become commands.
    """

    def __init__(self):
        self._renewed_s_by_id: dict[ids.ServerId, float] = {}

    def handle(self, event, servers_by_id, now_s):
        """Take an event and return the commands to propose.

        :param servers_by_id: the servers in the replicated state.
        :param now_s: monotonic seconds.
        """
        match event:
            case Announced(server=server, leaving=True):
                return self._leave(server, servers_by_id)
            case Announced(server=server):
                return self._renew(server, servers_by_id, now_s)
            case Ticked():
                return self._expire(servers_by_id, now_s)
        raise AssertionError(f'unknown event {event!r}')

    def _leave(self, server, servers_by_id):
        known = servers_by_id.get(server.id)
        if known is None or known.incarnation > server.incarnation:
            return []
        leave = servers.LeaveServer(server.id, server.incarnation)
        return [ProposeCommand(leave)]

    def _renew(self, server, servers_by_id, now_s):
        known = servers_by_id.get(server.id)
        if known and known.incarnation > server.incarnation:
            return []
        self._renewed_s_by_id[server.id] = now_s
        if known == server:
            return []
        return [ProposeCommand(servers.JoinServer(server))]

    def _expire(self, servers_by_id, now_s):
        found = []
        for server in servers_by_id.values():
            renewed_s = self._renewed_s_by_id.setdefault(server.id, now_s)
            if now_s - renewed_s > LEASE_S:
                leave = servers.LeaveServer(server.id, server.incarnation)
                found.append(ProposeCommand(leave))
        return found
