"""What happens to a call that runs at most once."""

import dataclasses

from bulrushrudder.core import outcomes
from bulrushrudder.state import intents


@dataclasses.dataclass(frozen=True, slots=True)
class Looked:
    """The register was looked at, because it changed or time passed.

    :param intent: the Intent under the call's key, or None.
    :param owner_open: whether the process that may send it is alive.
    """

    intent: intents.Intent | None
    owner_open: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RegisterFull:
    """The register refused a new id."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The service answered."""

    answer: intents.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """There is no whole answer; the refusal says what is known."""

    refusal: outcomes.Refusal


Event = Looked | RegisterFull | Answered | Failed
