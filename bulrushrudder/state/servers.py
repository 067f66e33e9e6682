"""Backend servers in the replicated state."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results

DEFAULT_PIECE_TOKENS = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class InitialSpeed:
    """The speed assumed of a server before any request was measured.

    :param prefill_base_s: seconds per prefill, apart from the prompt.
    :param prefill_tokens_per_s: prompt tokens prefilled per second; 0 if
        unknown until the server reports it.
    :param token_s: seconds between tokens; 0 if unknown until the server
        reports it.
    """

    prefill_base_s: float = 0.0
    prefill_tokens_per_s: float = 0.0
    token_s: float = 0.0


UNKNOWN_SPEED = InitialSpeed()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as it announces itself.

    :param kind: prefill, decode or service.
    :param serves: ids of the models or services it serves.
    :param places: number of requests it can run at once.
    :param memory_tokens: KV cache capacity in tokens.
    :param link_tokens_per_s: rate of its link, in tokens of KV cache per
        second.
    :param checks_fencing: whether it refuses outdated fencing numbers.
    :param piece_tokens: size in tokens of the pieces in which KV cache
        memory is allocated.
    :param allocates_memory_gradually: whether a request takes memory as
        its tokens are generated, instead of for its limit up front.
    :param can_prefill: whether a decode server can also prefill, more
        slowly than a prefill server.
    :param run_id: identifies the run of the server, for servers that
        check it in each request; empty for others.
    :param initial_speed: speed assumed before any measurement.
    :param software: version of its software; empty if it states none.
    :param cold_requests_per_s: requests a second that it sustains while
        it is cold; 0 if it is never cold.
    :param cold: whether it is cold; None if the process that read its
        announcement does not know of cold servers.
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
    software: str = ''
    cold_requests_per_s: float = 0.0
    cold: bool | None = None


def turns(known, server):
    """Return whether a record differs only in that the server is cold.

    :param known: the earlier BackendServer, or None.
    :param server: the BackendServer.
    """
    return (
        known is not None
        and known.cold != server.cold
        and dataclasses.replace(known, cold=server.cold) == server
    )


@dataclasses.dataclass(frozen=True, slots=True)
class JoinServer:
    """Add a backend server, or update one that has changed."""

    server: BackendServer


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveServer:
    """Remove a backend server; this incarnation cannot join again.

    It may be absent, or not have joined yet.
    """

    id: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoseServer:
    """Remove a backend server that went silent; it may join again.

    :param excluded_s: seconds for which it must not join with the same kind,
        counted by a leader that takes over from its take-over; 0 unless it
        is excluded for a change of its kind.
    :param kind: the kind that it must not join with, if it is excluded.
    """

    id: ids.ServerId
    incarnation: int
    excluded_s: float = 0.0
    kind: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SetServerLimit:
    """Record how many requests a server takes from all VMs together.

    :param requests_per_s: None if it no longer states a limit.
    """

    id: ids.ServerId
    incarnation: int
    requests_per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetSoftware:
    """Forget a software version that no server of a model has any more."""

    model: str
    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class KnownSoftware:
    """A software version that servers of a model have or had lately."""

    model: str
    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class KnownIncarnation:
    """The latest known incarnation of a backend server.

    :param last_left: the latest incarnation that left, -1 for none.
    """

    id: ids.ServerId
    incarnation: int
    last_left: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class ServersSnapshot:
    """All backend servers, with the known incarnations of past ones.

    :param exclusions: the servers that are excluded for a change of their
        kind.
    """

    present: tuple[BackendServer, ...]
    incarnations: tuple[KnownIncarnation, ...]
    limits: tuple[SetServerLimit, ...] = ()
    softwares: tuple[KnownSoftware, ...] = ()
    exclusions: tuple[LoseServer, ...] = ()


class Servers:
    """The backend servers, and which of them may get new work.

    :ivar by_id: servers that have joined and not left.
    :ivar by_served: those of them that may get new work, by model or
        service, then by id.
    :ivar evacuated_by_served: the others, whose zones are evacuated.
    :ivar evacuated_zones: the zones whose servers get no new work.
    :ivar versions_by_served: counters by model or service, incremented
        whenever its servers or their zones change.
    :ivar exclusions_by_id: how servers were excluded that have not joined
        again.
    :ivar mixed_models: models whose streams of the last time may have
        begun at several software versions.
    """

    def __init__(self):
        self.by_id: dict[ids.ServerId, BackendServer] = {}
        self.by_served: dict[str, dict[ids.ServerId, BackendServer]] = {}
        self.evacuated_by_served: dict[
            str, dict[ids.ServerId, BackendServer]
        ] = {}
        self.evacuated_zones: frozenset[ids.Zone] = frozenset()
        self.versions_by_served: dict[str, int] = {}
        self.exclusions_by_id: dict[ids.ServerId, LoseServer] = {}
        self.mixed_models: frozenset[str] = frozenset()
        self._softwares_by_model: dict[str, list[str]] = {}
        self._limits_by_id: dict[ids.ServerId, SetServerLimit] = {}
        self._known_by_id: dict[ids.ServerId, KnownIncarnation] = {}

    def snapshot(self):
        """Return the table as a ServersSnapshot."""
        return ServersSnapshot(
            tuple(self.by_id.values()),
            tuple(self._known_by_id.values()),
            tuple(self._limits_by_id.values()),
            tuple(
                KnownSoftware(model, software)
                for model, known in self._softwares_by_model.items()
                for software in known
            ),
            tuple(self.exclusions_by_id.values()),
        )

    def evacuate(self, zones):
        """Set the zones whose servers get no new work.

        What runs there goes on, and its servers stay known.
        """
        changed = zones ^ self.evacuated_zones
        self.evacuated_zones = zones
        for server in self.by_id.values():
            if server.zone in changed:
                self._unindex(server)
                self._index(server)

    def takes_requests(self, server):
        """Return whether requests may be sent to a server's zone."""
        return server.zone not in self.evacuated_zones

    def softwares(self, model):
        """Return the versions that servers of a model have or had lately."""
        return tuple(self._softwares_by_model.get(model, ()))

    def absent_softwares(self):
        """Return pairs of model and known version without a server."""
        present = {
            (served, server.software)
            for server in self.by_id.values()
            for served in server.serves
        }
        return [
            (model, software)
            for model, known in self._softwares_by_model.items()
            for software in known
            if (model, software) not in present
        ]

    def requests_per_s(self, server):
        """Return the recorded limit of a server, None without one."""
        limit = self._limits_by_id.get(server.id)
        if limit is None or limit.incarnation != server.incarnation:
            return None
        return limit.requests_per_s

    def count_cold(self):
        """Return the number of present servers that are cold."""
        return sum(bool(server.cold) for server in self.by_id.values())

    def mark_zone_cold(self, zone):
        """Count the servers of a zone as cold until they say otherwise.

        To be called when the zone's evacuation is reverted, in the same
        entry of the log: its servers may have become cold before that, and
        announce it only a second or two later.

        :param zone: the Zone.
        """
        for server in tuple(self.by_id.values()):
            if server.zone == zone and server.cold_requests_per_s > 0:
                limit = self._limits_by_id.get(server.id)
                self._remove(server.id)
                self._add(dataclasses.replace(server, cold=True))
                if limit is not None:
                    self._limits_by_id[server.id] = limit

    def latest_incarnation(self, server_id):
        """Return the latest known incarnation of a server, -1 for none."""
        return self._known(server_id).incarnation

    def has_departed(self, server_id, incarnation):
        """Return whether an incarnation can never join again.

        That holds for servers that are absent too: they may have been lost
        or set aside before they left.
        """
        known = self._known(server_id)
        return incarnation <= known.last_left or (
            incarnation < known.incarnation
        )

    def restore(self, snapshot):
        """Replace the table by a ServersSnapshot."""
        for server in tuple(self.by_id.values()):
            self._remove(server.id)
        for server in snapshot.present:
            self._add(server)
        self._known_by_id = {
            known.id: known for known in snapshot.incarnations
        }
        self._limits_by_id = {limit.id: limit for limit in snapshot.limits}
        self.exclusions_by_id = {
            excluded.id: excluded for excluded in snapshot.exclusions
        }
        self._softwares_by_model = {}
        for known in snapshot.softwares:
            self._learn_software(known.model, known.software)
        for server in snapshot.present:
            self._learn_softwares(server)
        self._update_mixed_models()

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        match command:
            case JoinServer(server=server):
                return self._join(index, server)
            case LeaveServer():
                return self._leave(index, command)
            case LoseServer():
                return self._lose(index, command)
            case SetServerLimit():
                return self._set_limit(index, command)
            case ForgetSoftware(model=model, software=software):
                if (model, software) in self.absent_softwares():
                    self._softwares_by_model[model].remove(software)
                    self._update_mixed_models()
                return results.Accepted(index)
        raise AssertionError(f'unknown command {command!r}')

    def _join(self, index, server):
        known = self._known(server.id)
        if server.incarnation < known.incarnation:
            return results.Rejected(
                f'incarnation {server.incarnation} of {server.id} is older '
                f'than {known.incarnation}'
            )
        if server.incarnation <= known.last_left:
            return results.Rejected(
                f'incarnation {server.incarnation} of {server.id} has left'
            )
        limit = self._limits_by_id.get(server.id)
        self._remove(server.id)
        self._add(server)
        self.exclusions_by_id.pop(server.id, None)
        if limit is not None and limit.incarnation == server.incarnation:
            self._limits_by_id[server.id] = limit
        self._record_incarnation(
            server.id, server.incarnation, known.last_left
        )
        return results.Accepted(index)

    def _leave(self, index, command):
        known = self._known(command.id)
        if command.incarnation < known.incarnation:
            return results.Rejected(
                f'incarnation {command.incarnation} of {command.id} is older '
                f'than {known.incarnation}'
            )
        self._remove(command.id)
        self.exclusions_by_id.pop(command.id, None)
        self._record_incarnation(
            command.id, command.incarnation, command.incarnation
        )
        return results.Accepted(index)

    def _lose(self, index, command):
        present = self.by_id.get(command.id)
        if present is None or present.incarnation != command.incarnation:
            return results.Rejected(
                f'incarnation {command.incarnation} of {command.id} is not '
                'present'
            )
        self._remove(command.id)
        if command.excluded_s > 0:
            self.exclusions_by_id[command.id] = command
        return results.Accepted(index)

    def _set_limit(self, index, command):
        present = self.by_id.get(command.id)
        if present is None or present.incarnation != command.incarnation:
            return results.Rejected(
                f'incarnation {command.incarnation} of {command.id} is not '
                'present'
            )
        if command.requests_per_s is None:
            self._limits_by_id.pop(command.id, None)
        else:
            self._limits_by_id[command.id] = command
        return results.Accepted(index)

    def _known(self, server_id):
        return self._known_by_id.get(
            server_id, KnownIncarnation(server_id, -1)
        )

    def _record_incarnation(self, server_id, incarnation, last_left):
        known = KnownIncarnation(server_id, incarnation, last_left)
        self._known_by_id[server_id] = known

    def _learn_softwares(self, server):
        for served in server.serves:
            self._learn_software(served, server.software)

    def _learn_software(self, model, software):
        known = self._softwares_by_model.setdefault(model, [])
        if software not in known:
            known.append(software)

    def _update_mixed_models(self):
        self.mixed_models = frozenset(
            model
            for model, known in self._softwares_by_model.items()
            if len(known) > 1
        )

    def _add(self, server):
        self.by_id[server.id] = server
        self._learn_softwares(server)
        self._update_mixed_models()
        self._index(server)

    def _remove(self, server_id):
        removed = self.by_id.pop(server_id, None)
        self._limits_by_id.pop(server_id, None)
        if removed is not None:
            self._unindex(removed)

    def _index(self, server):
        by_served = self.evacuated_by_served
        if self.takes_requests(server):
            by_served = self.by_served
        for served in server.serves:
            by_served.setdefault(served, {})[server.id] = server
            self._increment_version(served)

    def _unindex(self, server):
        for served in server.serves:
            for by_served in (self.by_served, self.evacuated_by_served):
                by_served.get(served, {}).pop(server.id, None)
            self._increment_version(served)

    def _increment_version(self, served):
        version = self.versions_by_served.get(served, 0)
        self.versions_by_served[served] = version + 1
