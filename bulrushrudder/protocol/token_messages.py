"""Messages between entries and account authorities."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks an account's authority for tokens.

    :param ask: the same when the question is sent again.
    :param tokens: the whole cost of one request.
    :param slice_tokens_wanted: size of the slice asked for on top.
    :param patience_s: seconds that the request can wait.
    """

    ask: ids.AskId
    account: ids.AccountId
    tokens: int
    slice_tokens_wanted: int
    patience_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted:
    """The tokens are the asker's.

    :param epoch: the epoch of the account; returns name it.
    :param slice_tokens: tokens that the asker may hold beside.
    :param rate: the rate under which they were granted.
    :param burst: the burst under which they were granted.
    """

    ask: ids.AskId
    account: ids.AccountId
    epoch: int
    tokens: int
    slice_tokens: int
    rate: float
    burst: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokensRefused:
    """The tokens cannot be had in time.

    :param reason: number of the Reason.
    :param retry_after_s: seconds until the tokens would be there.
    """

    reason: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AuthorityMoved:
    """Another VM answers for the account."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefundTokens:
    """Gives back the unused part of a grant.

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
class WithdrawTokenRequest:
    """Says that nobody waits for a question's tokens any more."""

    ask: ids.AskId
    account: ids.AccountId
