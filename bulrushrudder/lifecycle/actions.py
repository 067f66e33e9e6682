"""What is to be done for a request."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class AskTokens:
    """Ask the account's authority for the cost of the request."""

    account: ids.AccountId
    tokens: int
    patience_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Give back what the request did not use."""

    account: ids.AccountId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskPlace:
    """Ask the coordinator for servers."""

    patience_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePlace:
    """Tell the coordinator that the servers are free again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartPrefill:
    """Send the prompt to a prefill server."""

    attempt: ids.AttemptId
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class StartDecode:
    """Have a decode server take the KV cache and produce tokens.

    :param produced: texts of the tokens that the caller already has.
    """

    attempt: ids.AttemptId
    server: ids.ServerId
    prefill: ids.ServerId
    handle: str
    produced: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Free what an attempt may hold on a server."""

    attempt: ids.AttemptId
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Pass a token to the caller."""

    index: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Tell the caller that the answer is whole."""

    prompt_tokens: int
    tokens: int
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller why there is no whole answer."""

    refusal: outcomes.Refusal


Action = (
    AskTokens
    | ReturnTokens
    | AskPlace
    | ReleasePlace
    | StartPrefill
    | StartDecode
    | CancelAttempt
    | Relay
    | Complete
    | Refuse
)
