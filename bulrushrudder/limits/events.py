"""Events that the authority of client accounts handles."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class TokensRequested:
    """A process asks for the tokens of a request.

    :param token_request: identifies the token request across all
        processes.
    :param tokens: the whole cost of the request.
    :param slice_tokens_wanted: size of the slice that the process asks
        for on top, for later requests; 0 for none.
    :param deadline_s: monotonic seconds until which the request can
        wait.
    """

    token_request: ids.TokenRequestId
    account: ids.AccountId
    tokens: int
    slice_tokens_wanted: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokensRefunded:
    """A process refunds unused tokens of a grant.

    :param token_request: the token request that was granted.
    :param epoch: the epoch in which it was granted.
    :param number: number of the refund of this grant, from 1, by which
        a repeated message is detected.
    :param closes: whether the slice of the grant is given up.
    """

    token_request: ids.TokenRequestId
    account: ids.AccountId
    epoch: int
    number: int
    tokens: int
    closes: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequestWithdrawn:
    """A process no longer waits for the tokens that it requested."""

    token_request: ids.TokenRequestId
    account: ids.AccountId


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed or the view of the log has changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """The process is stopping and releases every account."""


Event = (
    TokensRequested
    | TokensRefunded
    | TokenRequestWithdrawn
    | Ticked
    | Stopping
)
