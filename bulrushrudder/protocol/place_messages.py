"""Messages between entries and coordinators."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.placement import events


@dataclasses.dataclass(frozen=True, slots=True)
class AskPlace:
    """Asks a cell's coordinator for servers.

    :param request: the request that is placed.
    :param account: whose share of the queue it takes.
    :param patience_s: seconds that the request can queue.
    :param excluded: servers that failed the request or have left.
    :param isolation: 1 where no other such request may share a server,
        2 where no other request at all may.
    :param prefix: digests of the start of the prompt.
    :param number: names the hold; the CoordinatorClient sets it.
    :param expected_tokens: output to expect, 0 where nobody says.
    :param late_counts: whether an answer after the target is of use.
    :param waited_s: seconds that the caller has waited, in earlier tries
        too; the target counts from then.
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
    late_counts: bool = False
    waited_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceGranted:
    """The servers that run a request."""

    prefill: ids.ServerId
    decode: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRefused:
    """No servers can be had in time."""

    reason: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceMoved:
    """Another VM is the coordinator now; it is to be asked."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePlace:
    """The request holds nothing on its servers any more.

    :param number: of the hold.
    :param prefill_s: seconds that its prefill took, 0 where none ended.
    :param token_s: seconds between its tokens, 0 where it made too few.
    :param verdict: a Verdict on its decode server, by number.
    """

    owner: ids.Owner
    model: ids.ModelId
    number: int
    prefill_s: float = 0.0
    token_s: float = 0.0
    verdict: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportHolds:
    """Says which holds an owner has or asks for.

    :param sequence: grows with each report of the owner.
    :param below: the report covers lower numbers.
    """

    owner: ids.Owner
    model: ids.ModelId
    sequence: int
    below: int
    numbers: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldsWanted:
    """The coordinator does not know these holds."""

    numbers: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreHolds:
    """Tells a coordinator what an owner holds."""

    model: ids.ModelId
    holdings: tuple[events.Holding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLoad:
    """Passes a server's load report to the model's coordinator."""

    model: ids.ModelId
    report: events.LoadReported


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCache:
    """Passes a server's cache event to the model's coordinator."""

    model: ids.ModelId
    change: events.CacheChanged
