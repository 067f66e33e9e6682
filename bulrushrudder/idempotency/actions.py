"""Actions that an at-most-once call asks its caller to perform."""

import dataclasses

from bulrushrudder.core import outcomes
from bulrushrudder.state import intents


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Propose a command to the log; it is proposed again if lost."""

    command: intents.OpenIntent | intents.CloseIntent


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the call to the service; issued at most once per call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Send the caller the answer of this run."""

    answer: intents.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Send the caller the recorded answer of an earlier run."""

    answer: intents.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Send the caller a refusal, which says why there is no answer."""

    refusal: outcomes.Refusal


Action = Propose | Send | Deliver | Replay | Refuse
