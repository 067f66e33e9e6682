"""Events that drive the lifecycle of a request."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted:
    """The account's rate limiter charged the cost of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class StepRefused:
    """Tokens or servers were refused."""

    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceGranted:
    """The placement coordinator chose the servers.

    :param place: id of the request for a place.
    :param prefill: empty if the decode server processes the prompt.
    :param software: version of the software of the decode server.
    """

    place: ids.RequestId
    prefill: ids.ServerId
    decode: ids.ServerId
    software: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillDone:
    """The KV cache of the prompt is ready.

    :param handle: identifies the KV cache on the prefill server.
    :param prompt_tokens: as counted by the engine.
    """

    attempt: ids.AttemptId
    handle: str
    prompt_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TransferDone:
    """A decode server accepted the request and has the KV cache.

    :param head: status and headers of its answer if they are passed to
        callers; opaque to this package.
    :param relay: the VM through which it comes; empty if it is direct.
    """

    attempt: ids.AttemptId
    head: object = None
    relay: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TokenArrived:
    """A decode server produced a token.

    :param index: position among the output tokens of the request,
        from 0.
    """

    attempt: ids.AttemptId
    index: int
    text: str | bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeDone:
    """A decode server produced the last token.

    :param tokens: number of output tokens, over all attempts.
    """

    attempt: ids.AttemptId
    tokens: int
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed on a backend server.

    :param sent: whether the server may have run part of it.
    :param of_server: whether no lost path can explain it.
    :param held_back: whether this VM did not send it because the server is
        cold.
    :param evacuated: whether nothing was sent because the zone of the
        server is evacuated.
    """

    attempt: ids.AttemptId
    server: ids.ServerId
    reason: outcomes.Reason
    detail: str
    sent: bool = True
    of_server: bool = False
    held_back: bool = False
    evacuated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Inspected:
    """The state of a server after an attempt failed on it.

    :param crashed: whether the server lost its state.
    :param handle: identifies the KV cache there; None if it is lost.
    """

    attempt: ids.AttemptId
    crashed: bool
    handle: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReported:
    """The crash was committed, or committing it timed out.

    :param quarantined: whether the request must not run again.
    """

    quarantined: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """The request was quarantined after its place had been granted."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackOffEnded:
    """The delay before the next attempt is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccessLost:
    """The call would no longer be admitted.

    :param cut: whether a running request is aborted as well.
    """

    reason: outcomes.Reason
    detail: str
    cut: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TimeEnded:
    """The time of the request has run out.

    :param unless_output_started: whether a request that has produced output
        continues.
    :param reason: the reason that its caller is told.
    """

    unless_output_started: bool = False
    reason: outcomes.Reason = outcomes.Reason.DEADLINE_PASSED


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller disconnected."""


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
    | Quarantined
    | BackOffEnded
    | AccessLost
    | TimeEnded
    | CallerGone
)
