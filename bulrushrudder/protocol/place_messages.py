"""Messages between entry processes and coordinators of models."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.placement import events
from bulrushrudder.placement import service_zones
from bulrushrudder.placement import zone_balance


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Asks the coordinator of a model for servers.

    :param request: the request to place.
    :param owner: the process that asks.
    :param account: client account in the fair queue.
    :param output_tokens: upper bound on output tokens.
    :param patience_s: seconds that the request can queue.
    :param excluded: servers that failed the request or have left.
    :param isolation: number of an Isolation.
    :param prefix: digests of prefixes of the prompt, shortest first.
    :param number: number of the hold within the owner; the sender sets
        it for each attempt.
    :param expected_tokens: estimated output tokens, 0 if unknown.
    :param accepts_late_answer: whether an answer after the target is still
        useful.
    :param waited_s: seconds that the caller has waited, over all
        attempts; they count against the target.
    :param software: version that the decode server must have; None for
        any.
    :param rank: priority of the request, 0 is the highest; None from
        builds that do not send it.
    :param target_s: target for the first token of its own route, in
        seconds from the caller's first attempt; None if it has none.
    """

    request: ids.RequestId
    owner: ids.Owner
    account: str
    model: ids.ModelId
    prompt_tokens: int
    output_tokens: int
    interactive: bool
    patience_s: float
    excluded: tuple[ids.ServerId, ...] = ()
    isolation: int = 0
    prefix: tuple[int, ...] = ()
    number: int = 0
    expected_tokens: int = 0
    accepts_late_answer: bool = False
    waited_s: float = 0.0
    software: str | None = None
    rank: int | None = None
    target_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceGranted:
    """Grants the servers of a request."""

    prefill: ids.ServerId
    decode: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRefused:
    """Refuses a request because no servers are available in time.

    :param reason: number of the Reason.
    :param retry_after_s: seconds after which the caller should retry.
    """

    reason: int
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorMoved:
    """Another VM is now the coordinator of the model; ask there."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePlace:
    """Releases what a request holds on its servers.

    :param number: number of the hold within the owner.
    :param prefill_s: seconds that its prefill took, 0 if none ended.
    :param token_s: seconds between its tokens, 0 if there were too few.
    :param verdict: number of the Verdict on its decode server.
    :param prefill_failed: whether its prefill server rejected or failed
        the prefill.
    """

    owner: ids.Owner
    model: ids.ModelId
    number: int
    prefill_s: float = 0.0
    token_s: float = 0.0
    verdict: int = 0
    prefill_failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReportHolds:
    """Reports which holds an owner has or asks for.

    :param sequence: increases with each report of the owner.
    :param end_number: upper limit, exclusive, of the numbers that the
        report covers.
    :param numbers: numbers of the holds.
    :param load: what the owner measured of a plain service, for its
        coordinator; None in reports about models. The previous build
        ignores it, and such a report names no holds.
    """

    owner: ids.Owner
    model: ids.ModelId
    sequence: int
    end_number: int
    numbers: tuple[int, ...]
    load: service_zones.ServiceLoad | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownHolds:
    """Response to ReportHolds: holds that the coordinator does not know.

    :param numbers: numbers of the holds.
    :param shares: which share of the calls of each zone leaves it, in
        response to a load.
    :param valid_s: seconds for which the shares hold; 0 if there is no
        decision, as from the previous build.
    """

    numbers: tuple[int, ...]
    shares: tuple[zone_balance.Share, ...] = ()
    valid_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreAllocations:
    """Sends a coordinator the allocations of holds that it does not know."""

    model: ids.ModelId
    allocations: tuple[events.Allocation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLoad:
    """Passes the load report of a server on to a coordinator."""

    model: ids.ModelId
    report: events.LoadReported


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCache:
    """Passes a cache event of a server on to a coordinator."""

    model: ids.ModelId
    change: events.CacheChanged


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLimit:
    """Tells a coordinator what limit a server has stated.

    :param model: id of the model or plain service of the server.
    :param requests_per_s: for all VMs together; None if it states none.
    :param cold_requests_per_s: in a CallRequest for a single server that
        may be cold, the rate that it sustains then; otherwise 0.
    :param cold: whether the sender knows that it is cold.
    """

    model: str
    server: ids.ServerId
    incarnation: int
    requests_per_s: float | None
    cold_requests_per_s: float = 0.0
    cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """Asks to call one of several limited servers of a plain service.

    With a single server that may be cold, it asks when the next request may
    be sent to it, of a plain service or a model.

    :param model: id of the plain service or the model.
    :param limits: the servers in order of preference, with the limits that
        the sender knows.
    :param max_wait_s: seconds that the call can wait.
    """

    model: str
    limits: tuple[ReportLimit, ...]
    max_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallGranted:
    """Grants a call to a limited server.

    :param wait_s: seconds until the call may be sent.
    """

    server: ids.ServerId
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallDeferred:
    """States that no limited server takes the call in time.

    :param retry_after_s: seconds after which its caller should come back.
    """

    retry_after_s: float
