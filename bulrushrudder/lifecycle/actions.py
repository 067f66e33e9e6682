"""What is to be done for a request."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import job


@dataclasses.dataclass(frozen=True, slots=True)
class AskTokens:
    """Ask the account's authority for the cost of the request."""

    account: ids.AccountId
    tokens: int
    patience_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RefundTokens:
    """Give back what the request did not use."""

    account: ids.AccountId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskPlace:
    """Ask the coordinator for servers.

    :param place: names the question and what it grants.
    :param excluded: servers that failed the request.
    :param isolation: which requests may share the servers.
    """

    place: ids.RequestId
    patience_s: float
    excluded: tuple[ids.ServerId, ...]
    isolation: job.Isolation


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePlace:
    """Tell the coordinator that the place is free or not wanted."""

    place: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class StartPrefill:
    """Send the prompt to a prefill server.

    :param produced: texts of the tokens that the caller already has.
    """

    attempt: ids.AttemptId
    server: ids.ServerId
    produced: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartDecode:
    """Have a decode server take the KV cache and produce tokens.

    :param source: the server that holds the KV cache, empty where the
        decode server reads the prompt itself.
    :param handle: names the KV cache at the source.
    :param produced: texts of the tokens that the caller already has.
    """

    attempt: ids.AttemptId
    server: ids.ServerId
    source: ids.ServerId
    handle: str
    produced: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Inspect:
    """Find out whether a server is up and still has the KV cache."""

    attempt: ids.AttemptId
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """Have the crash of a server committed to the log.

    :param isolated: whether the request was the server's only suspect.
    """

    fingerprint: str
    server: ids.ServerId
    isolated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Have the log say that a suspect request finished."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class BackOff:
    """Wait before the next attempt.

    :param reason: why the last attempt failed.
    """

    delay_s: float
    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Free what an attempt may hold on a server."""

    attempt: ids.AttemptId
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Begin the answer to the caller.

    :param head: how the first server's answer began; opaque here.
    """

    head: object


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Pass a token to the caller."""

    index: int
    text: str | bytes


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


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """An answer came late, crossed or twice and is left out.

    :param kind: name of the event's class.
    """

    kind: str


Action = (
    AskTokens
    | RefundTokens
    | AskPlace
    | ReleasePlace
    | StartPrefill
    | StartDecode
    | Inspect
    | ReportCrash
    | ClearSuspect
    | BackOff
    | CancelAttempt
    | Begin
    | Relay
    | Complete
    | Refuse
    | Drop
)
