"""What happens to a request."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted:
    """The account's authority granted the cost."""


@dataclasses.dataclass(frozen=True, slots=True)
class StepRefused:
    """Tokens or servers cannot be had."""

    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceGranted:
    """The coordinator chose the servers.

    :param place: names the question that this answers.
    """

    place: ids.RequestId
    prefill: ids.ServerId
    decode: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillDone:
    """The KV cache of the prompt is ready.

    :param handle: names the KV cache at the prefill server.
    :param prompt_tokens: as the engine counted them.
    """

    attempt: ids.AttemptId
    handle: str
    prompt_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TransferDone:
    """A decode server has taken the KV cache.

    :param head: how its answer begins, where callers get to see that;
        opaque here.
    """

    attempt: ids.AttemptId
    head: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class TokenArrived:
    """A decode server produced a token.

    :param index: counts the output tokens of the request from 0.
    """

    attempt: ids.AttemptId
    index: int
    text: str | bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeDone:
    """A decode server produced the last token.

    :param tokens: output tokens of the whole request.
    """

    attempt: ids.AttemptId
    tokens: int
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """A backend server did not finish an attempt.

    :param sent: whether the server may have run any of it.
    """

    attempt: ids.AttemptId
    server: ids.ServerId
    reason: outcomes.Reason
    detail: str
    sent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Inspected:
    """What became of a server that failed an attempt.

    :param crashed: whether the server lost what it held.
    :param handle: names the KV cache there, if it survives.
    """

    attempt: ids.AttemptId
    crashed: bool
    handle: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReported:
    """The log has the crash, or cannot be reached now.

    :param quarantined: whether the fingerprint may not run again.
    """

    quarantined: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BackOffEnded:
    """The delay before the next attempt is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccessLost:
    """The call would be refused if it came now.

    :param cut: whether a request that runs is ended too.
    """

    reason: outcomes.Reason
    detail: str
    cut: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TimeEnded:
    """The caller must have a final answer now.

    :param unless_begun: whether an answer that has begun goes on.
    """

    unless_begun: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """Nobody waits for the answer any more."""


Event = (
    TokensGranted
    | StepRefused
    | PlaceGranted
    | PrefillDone
    | TransferDone
    | TokenArrived
    | DecodeDone
    | AttemptFailed
    | Inspected
    | CrashReported
    | BackOffEnded
    | AccessLost
    | TimeEnded
    | CallerGone
)
