"""What happens to the authority of client accounts."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class TokensAsked:
    """A request wants its tokens.

    :param ask: names the question over all processes.
    :param wish: tokens that the asker would like to hold beside.
    :param deadline_s: monotonic seconds until which it can wait.
    """

    ask: ids.AskId
    account: ids.AccountId
    tokens: int
    wish: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokensReturned:
    """A part of a grant was not used.

    :param ask: the question that was granted.
    :param epoch: the epoch in which it was granted.
    :param number: counts the returns of one grant.
    :param closes: whether nothing more is spent from its slice.
    """

    ask: ids.AskId
    account: ids.AccountId
    epoch: int
    number: int
    tokens: int
    closes: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AskWithdrawn:
    """Nobody waits for a question's tokens any more."""

    ask: ids.AskId
    account: ids.AccountId


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed, or the view of the log has moved."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """The process gives up every account."""


Event = TokensAsked | TokensReturned | AskWithdrawn | Ticked | Stopping
