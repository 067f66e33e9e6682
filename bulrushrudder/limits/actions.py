"""What the authority of client accounts wants done."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.state import accounts


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The tokens of a question are granted.

    :param epoch: the epoch of the account; returns name it.
    :param slice_tokens: tokens that the asker may hold beside.
    :param rate: the rate under which it was granted.
    :param burst: the burst under which it was granted.
    """

    ask: ids.AskId
    account: ids.AccountId
    epoch: int
    tokens: int
    slice_tokens: int
    rate: float
    burst: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The tokens of a question cannot be had in time."""

    ask: ids.AskId
    reason: outcomes.Reason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Redirect:
    """Another VM answers for the account."""

    ask: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Commit a command; a lost one is proposed again."""

    command: (
        accounts.ClaimAccount | accounts.SetFloor | accounts.ReleaseAccount
    )


Action = Grant | Refuse | Redirect | Propose
