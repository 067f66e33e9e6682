"""What the coordinator of a cell wants done."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.placement import events


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request runs on these servers."""

    call: int
    hold: events.HoldId
    prefill: ids.ServerId
    decode: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """A request gets no servers in time."""

    call: int
    hold: events.HoldId
    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class AskHoldings:
    """An owner is to tell what these grants hold."""

    owner: ids.Owner
    numbers: tuple[int, ...]
