"""Actions that the authority of client accounts returns."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.state import accounts


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Grant the tokens of a token request.

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
class Refuse:
    """Refuse a token request.

    :param retry_after_s: seconds after which the tokens should be
        available; 0 where waiting doesn't help.
    """

    token_request: ids.TokenRequestId
    reason: outcomes.Reason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Redirect:
    """Redirect a token request, because another VM grants for the account."""

    token_request: ids.TokenRequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Propose a command to the log.

    A command that is lost is proposed again after a timeout.
    """

    command: (
        accounts.ClaimAccount | accounts.SetFloor | accounts.ReleaseAccount
    )


Action = Grant | Refuse | Redirect | Propose
