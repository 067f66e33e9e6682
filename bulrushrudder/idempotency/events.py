"""Events that drive an at-most-once call."""

import dataclasses

from bulrushrudder.core import outcomes
from bulrushrudder.state import intents


@dataclasses.dataclass(frozen=True, slots=True)
class RegisterRead:
    """The register was read, because it changed or time passed.

    :param intent: the Intent under the call's key, or None.
    :param owner_alive: whether the process that may send the call, named
        by the intent, still has an open session.
    """

    intent: intents.Intent | None
    owner_alive: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RegisterFull:
    """The register rejected a new id because it is full."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The service answered."""

    answer: intents.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call got no complete answer; the refusal says whether it ran."""

    refusal: outcomes.Refusal


Event = RegisterRead | RegisterFull | Answered | Failed
