"""Actions that the coordinator of a model decides on."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.placement import events
from bulrushrudder.placement import zone_balance


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request is granted a prefill and a decode server.

    :param prefill: empty if the decode server processes the prompt.
    """

    call: int
    hold: events.HoldId
    prefill: ids.ServerId
    decode: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """A placement request is refused.

    :param retry_after_s: seconds after which its caller should retry.
    """

    call: int
    hold: events.HoldId
    reason: outcomes.Reason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAllocations:
    """An owner must report its allocations under some hold numbers."""

    owner: ids.Owner
    numbers: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantCall:
    """A call to a plain service may go to a limited server.

    :param wait_s: seconds until it may be sent.
    """

    call: int
    server: ids.ServerId
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeferCall:
    """No limited server of a plain service takes a call in time.

    :param retry_after_s: seconds after which its caller should retry.
    """

    call: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ZonesDecided:
    """Other shares of the zones' work than before leave their zones.

    :param kind: kind of the servers: prefill, decode or service.
    """

    kind: str
    shares: tuple[zone_balance.Share, ...]
