"""Events that the coordinator of a model handles."""

import dataclasses
import enum

from bulrushrudder.core import ids
from bulrushrudder.state import servers


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class HoldId:
    """Identifies what one grant holds.

    :param number: counts the placement requests of the owner.
    """

    owner: ids.Owner
    number: int


class Isolation(enum.IntEnum):
    """Which other requests may share servers with a request."""

    NONE = 0
    NO_OTHER_SUSPECT = 1
    ALONE = 2


class Verdict(enum.IntEnum):
    """Result of a request on its decode server."""

    UNKNOWN = 0
    SERVED = 1
    FAILED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequested:
    """A request asks for a prefill and a decode server.

    :param call: correlates the resulting action with this event.
    :param weight: of the client account in the fair queue.
    :param zone: availability zone of the requesting VM.
    :param output_tokens: upper bound on output tokens.
    :param patience_s: longest time in the queue, in seconds.
    :param first_token_s: target for the first token, in seconds from
        now.
    :param between_tokens_s: target between two tokens, in seconds.
    :param prefix: digests of prefixes of the prompt, shortest first.
    :param excluded: servers that must not be chosen.
    :param isolation: which requests may share its decode server.
    :param expected_tokens: estimated output tokens, 0 if unknown.
    :param accepts_late_answer: whether an answer after the target is still
        useful.
    :param software: version that the decode server must have; None for
        any.
    :param rank: priority, 0 is the highest; None if it is unknown.
    :param own_first_token_s: target of its own route, in seconds from now;
        None if it is unknown. Used while requests of several ranks come.
    """

    call: int
    hold: HoldId
    account: str
    weight: float
    zone: ids.Zone
    prompt_tokens: int
    output_tokens: int
    interactive: bool
    patience_s: float
    first_token_s: float
    between_tokens_s: float
    prefix: tuple[int, ...] = ()
    excluded: tuple[ids.ServerId, ...] = ()
    isolation: Isolation = Isolation.NONE
    expected_tokens: int = 0
    accepts_late_answer: bool = False
    software: str | None = None
    rank: int | None = None
    own_first_token_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReleased:
    """A request releases its hold or withdraws its placement request.

    :param prefill_s: duration of its prefill in seconds, 0 if none
        completed.
    :param token_s: seconds between its tokens, 0 if it generated too few
        to measure.
    :param verdict: its result on the decode server.
    :param prefill_failed: whether its prefill server rejected or failed
        the prefill.
    """

    hold: HoldId
    prefill_s: float = 0.0
    token_s: float = 0.0
    verdict: Verdict = Verdict.UNKNOWN
    prefill_failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServersChanged:
    """The servers of the model that accept new requests.

    :param evacuated: its servers in evacuated zones, which accept none.
    """

    servers: tuple[servers.BackendServer, ...]
    evacuated: tuple[servers.BackendServer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A delayed load report of a server.

    :param sequence: increases with each report of an incarnation.
    :param running: number of running requests.
    :param step_s: seconds between tokens on a decode server, else 0.
    :param tokens_per_s: prompt tokens per second of a prefill server,
        else 0.
    """

    server: ids.ServerId
    incarnation: int
    sequence: int
    running: int
    step_s: float
    tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """A delayed report of changes in a prefill server's prefix cache.

    :param sequence: counts the events of an incarnation; a gap means
        that an event was lost.
    """

    server: ids.ServerId
    incarnation: int
    sequence: int
    stored: tuple[int, ...]
    removed: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """Servers and tokens allocated to a request.

    :param age_s: seconds from the grant to the report.
    """

    hold: HoldId
    account: str
    prefill: ids.ServerId
    decode: ids.ServerId
    prompt_tokens: int
    output_tokens: int
    isolation: Isolation = Isolation.NONE
    expected_tokens: int = 0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HoldsReported:
    """An owner reports the numbers of its open and pending holds.

    :param sequence: increases with each report of the owner.
    :param end_number: exclusive upper bound of the numbers covered.
    """

    owner: ids.Owner
    sequence: int
    end_number: int
    numbers: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class AllocationsRestored:
    """An owner sends its allocations to a coordinator that lacks them."""

    allocations: tuple[Allocation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersChanged:
    """The processes with an open session."""

    owners: tuple[ids.Owner, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReported:
    """A server has stated how many requests it takes from all VMs.

    :param requests_per_s: None if it states no limit.
    """

    server: ids.ServerId
    incarnation: int
    requests_per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequested:
    """A call to a plain service asks for one of several limited servers.

    :param call: correlates the resulting action with this event.
    :param limits: the servers in order of preference, with the limits that
        the caller's VM knows.
    :param max_wait_s: seconds that the call can wait.
    """

    call: int
    limits: tuple[LimitReported, ...]
    max_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdCallRequested:
    """A VM is about to send a request to a server that may be cold.

    :param call: correlates the resulting action with this event.
    :param requests_per_s: the rate that the server sustains while cold.
    :param cold: whether the VM knows that it is cold; otherwise the VM has
        not heard of it lately.
    :param max_wait_s: seconds that the request can wait.
    """

    call: int
    server: ids.ServerId
    incarnation: int
    requests_per_s: float
    cold: bool
    max_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ContactChanged:
    """What this coordinator knows about others of the same model.

    :param sole: whether it is in charge, and no other VM can be.
    :param elected: whether it is in charge by all sessions of its view,
        which may be outdated.
    :param heard: whether the view is recent.
    """

    sole: bool
    elected: bool
    heard: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """A timer tick, so that deadlines and free times are checked."""
