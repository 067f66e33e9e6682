"""What is to be done for a call that runs at most once."""

import dataclasses

from bulrushrudder.core import outcomes
from bulrushrudder.state import intents


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Commit a command; a lost one is proposed again."""

    command: intents.OpenIntent | intents.CloseIntent


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the call to the service; this comes once at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Give the caller the answer of this run."""

    answer: intents.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Give the caller the answer that was recorded before."""

    answer: intents.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller why there is no answer."""

    refusal: outcomes.Refusal


Action = Propose | Send | Deliver | Replay | Refuse
