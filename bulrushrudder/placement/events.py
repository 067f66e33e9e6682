"""What happens to the coordinator of a cell."""

import dataclasses
import enum

from bulrushrudder.core import ids
from bulrushrudder.state import servers


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class HoldId:
    """Names what one grant holds.

    :param number: counts the questions of the owner.
    """

    owner: ids.Owner
    number: int


class Isolation(enum.IntEnum):
    """Which requests may share servers with a request."""

    NONE = 0
    NO_OTHER_SUSPECT = 1
    ALONE = 2


class Verdict(enum.IntEnum):
    """How a decode server did with a request."""

    UNKNOWN = 0
    SERVED = 1
    FAILED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceAsked:
    """A request wants a prefill and a decode server.

    :param call: names the question in the answer.
    :param weight: the client account's share of a contended queue.
    :param zone: of the VM that asks.
    :param output_tokens: the bound on output.
    :param patience_s: seconds that the request can queue.
    :param first_token_s: target for the first token, from now.
    :param between_tokens_s: target between two tokens.
    :param prefix: digests of the start of the prompt, shortest first.
    :param excluded: servers that must not be chosen.
    :param isolation: which requests may share its decode server.
    :param expected_tokens: output to expect, 0 where nobody says.
    :param accepts_late_answer: whether an answer after the target is of use.
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


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReleased:
    """A request holds nothing any more, or no longer wants to.

    :param prefill_s: seconds that its prefill took, 0 where none ended.
    :param token_s: seconds between its tokens, 0 where it made too few.
    :param verdict: how its decode server did.
    """

    hold: HoldId
    prefill_s: float = 0.0
    token_s: float = 0.0
    verdict: Verdict = Verdict.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class ServersChanged:
    """The servers of the cell that may get new work."""

    servers: tuple[servers.BackendServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A server reported its load, some time ago.

    :param sequence: grows with each report of an incarnation.
    :param running: requests that it runs.
    :param step_s: seconds between tokens on a decode server, else 0.
    :param tokens_per_s: rate of a prefill server, else 0.
    """

    server: ids.ServerId
    incarnation: int
    sequence: int
    running: int
    step_s: float
    tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """A prefill server's prefix cache changed, some time ago.

    :param sequence: counts the events of an incarnation; a missing
        number is an event that was lost.
    """

    server: ids.ServerId
    incarnation: int
    sequence: int
    stored: tuple[int, ...]
    removed: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What a request holds on the servers of a cell.

    :param age_s: seconds since it was granted, when it was reported.
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
    """An owner says which grants it holds or still asks for.

    :param sequence: grows with each report of the owner.
    :param below: the report covers holds with lower numbers.
    """

    owner: ids.Owner
    sequence: int
    below: int
    numbers: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldingsRestored:
    """An owner tells what it holds to a coordinator that did not know."""

    holdings: tuple[Holding, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersChanged:
    """The processes that have a session open."""

    owners: tuple[ids.Owner, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""
