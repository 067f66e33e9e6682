"""Messages between entry processes and authorities of accounts."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks the authority of an account for tokens.

    :param token_request: identifies the token request; a retry repeats it.
    :param tokens: the whole cost of one request.
    :param slice_tokens_wanted: size of the slice asked for in addition,
        for later requests; 0 for none.
    :param patience_s: seconds that the request can wait.
    """

    token_request: ids.TokenRequestId
    account: ids.AccountId
    tokens: int
    slice_tokens_wanted: int
    patience_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted:
    """Grants the tokens of a token request.

    :param epoch: epoch of the account, which refunds have to name.
    :param tokens: tokens granted for the request, without the slice.
    :param slice_tokens: tokens of the slice that the requesting process
        may spend on later requests.
    :param rate: rate of the account when granted, in tokens a second.
    :param burst: burst of the account when granted, in tokens.
    """

    token_request: ids.TokenRequestId
    account: ids.AccountId
    epoch: int
    tokens: int
    slice_tokens: int
    rate: float
    burst: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokensRefused:
    """Refuses a token request.

    :param reason: number of the Reason.
    :param retry_after_s: seconds after which the tokens should be
        available; 0 where waiting doesn't help.
    """

    reason: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AuthorityMoved:
    """Another VM is now the authority of the account; ask there."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefundTokens:
    """Refunds unused tokens of a grant.

    :param token_request: the token request that was granted.
    :param epoch: epoch of the account when it was granted.
    :param number: counts the refunds of one grant.
    :param tokens: tokens refunded.
    :param closes: whether the slice of the grant is given up.
    """

    token_request: ids.TokenRequestId
    account: ids.AccountId
    epoch: int
    number: int
    tokens: int
    closes: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawTokenRequest:
    """Withdraws a token request whose grant is no longer needed."""

    token_request: ids.TokenRequestId
    account: ids.AccountId
