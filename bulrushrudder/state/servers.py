"""Backend servers in the replicated state."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results

DEFAULT_PIECE_TOKENS = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class InitialSpeed:
    """How fast a server is taken to be until requests have shown it.

    :param prefill_base_s: seconds of a prefill whatever its prompt.
    :param prefill_tokens_per_s: rate at which it reads prompts, 0 where
        only its reports tell.
    :param token_s: seconds between tokens, 0 where only reports tell.
    """

    prefill_base_s: float = 0.0
    prefill_tokens_per_s: float = 0.0
    token_s: float = 0.0


UNKNOWN_SPEED = InitialSpeed()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as it announces itself.

    :param kind: prefill, decode or service.
    :param serves: the models or the services it serves.
    :param places: requests that it can hold at once.
    :param memory_tokens: tokens of KV cache that it can hold.
    :param link_tokens_per_s: rate of its link, in tokens of KV cache.
    :param checks_fencing: whether it refuses old fencing numbers.
    :param piece_tokens: tokens of the pieces that its memory comes in.
    :param allocates_memory_gradually: whether a request takes memory as
        its tokens are generated, instead of for its limit up front.
    :param can_prefill: whether a decode server can read a prompt by
        itself, more slowly than a prefill server.
    :param run_id: names the run of the server where the server checks it.
    """

    id: ids.ServerId
    incarnation: int
    kind: str
    host: str
    port: int
    zone: ids.Zone
    serves: tuple[str, ...]
    places: int
    memory_tokens: int
    link_tokens_per_s: float
    checks_fencing: bool
    piece_tokens: int = DEFAULT_PIECE_TOKENS
    run_id: str = ''
    allocates_memory_gradually: bool = False
    can_prefill: bool = False
    initial_speed: InitialSpeed = UNKNOWN_SPEED


@dataclasses.dataclass(frozen=True, slots=True)
class JoinServer:
    """A backend server announced itself or changed."""

    server: BackendServer


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveServer:
    """A backend server leaves; the incarnation never returns."""

    id: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoseServer:
    """A backend server went silent; it may announce itself again."""

    id: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class KnownIncarnation:
    """The last incarnation of a backend server that was heard of.

    :param left: the last incarnation that left, -1 for none.
    """

    id: ids.ServerId
    incarnation: int
    last_left: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ServersSnapshot:
    """All backend servers, present and past."""

    present: tuple[BackendServer, ...]
    incarnations: tuple[KnownIncarnation, ...]


class Servers:
    """The backend servers that may get new work.

    :ivar by_id: servers that have joined and not left.
    :ivar by_served: the same servers by model or service, then by id.
    :ivar versions_by_served: grow when the servers of one change.
    """

    def __init__(self):
        self.by_id: dict[ids.ServerId, BackendServer] = {}
        self.by_served: dict[str, dict[ids.ServerId, BackendServer]] = {}
        self.versions_by_served: dict[str, int] = {}
        self._known_by_id: dict[ids.ServerId, KnownIncarnation] = {}

    def snapshot(self):
        """Return the table as a ServersSnapshot."""
        return ServersSnapshot(
            tuple(self.by_id.values()),
            tuple(self._known_by_id.values()),
        )

    def restore(self, snapshot):
        """Put a ServersSnapshot in the place of the table."""
        for known in tuple(self.by_id.values()):
            self._remove(known.id)
        for server in snapshot.present:
            self._add(server)
        self._known_by_id = {
            known.id: known for known in snapshot.incarnations
        }

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        match command:
            case JoinServer(server=server):
                return self._join(index, server)
            case LeaveServer():
                return self._leave(index, command)
            case LoseServer():
                return self._lose(index, command)
        raise AssertionError(f'unknown command {command!r}')

    def _join(self, index, server):
        known = self._known(server.id)
        if server.incarnation < known.incarnation:
            return results.Rejected('a later incarnation is known')
        if server.incarnation <= known.last_left:
            return results.Rejected('this incarnation has left')
        self._remove(server.id)
        self._add(server)
        self._record_incarnation(
            server.id, server.incarnation, known.last_left
        )
        return results.Accepted(index)

    def _leave(self, index, command):
        known = self._known(command.id)
        if command.incarnation < known.incarnation:
            return results.Rejected('a later incarnation is known')
        self._remove(command.id)
        self._record_incarnation(
            command.id, command.incarnation, command.incarnation
        )
        return results.Accepted(index)

    def _lose(self, index, command):
        present = self.by_id.get(command.id)
        if present is None or present.incarnation != command.incarnation:
            return results.Rejected('this incarnation is not present')
        self._remove(command.id)
        return results.Accepted(index)

    def _known(self, server_id):
        return self._known_by_id.get(
            server_id, KnownIncarnation(server_id, -1)
        )

    def _record_incarnation(self, server_id, incarnation, last_left):
        known = KnownIncarnation(server_id, incarnation, last_left)
        self._known_by_id[server_id] = known

    def _add(self, server):
        self.by_id[server.id] = server
        for served in server.serves:
            self.by_served.setdefault(served, {})[server.id] = server
            self._increment_version(served)

    def _remove(self, server_id):
        known = self.by_id.pop(server_id, None)
        for served in known.serves if known else ():
            self.by_served[served].pop(server_id, None)
            self._increment_version(served)

    def _increment_version(self, served):
        version = self.versions_by_served.get(served, 0)
        self.versions_by_served[served] = version + 1
