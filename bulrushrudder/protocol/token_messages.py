"""Messages between entries and account authorities."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class AskTokens:
    """Asks an account's authority for tokens.

    :param tokens: the whole cost of one request.
    :param patience_s: seconds that the request can wait.
    """

    account: ids.AccountId
    tokens: int
    patience_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted:
    """The tokens are the asker's."""


@dataclasses.dataclass(frozen=True, slots=True)
class TokensRefused:
    """The tokens cannot be had in time.

    :param reason: number of the Reason.
    :param retry_after_s: seconds until the tokens would be there.
    """

    reason: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Gives back the unused part of a grant."""

    account: ids.AccountId
    tokens: int
