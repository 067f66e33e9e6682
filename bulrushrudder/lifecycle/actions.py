"""Actions that the lifecycle of a request asks its caller to perform."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import job


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTokens:
    """Ask the account's rate limiter to charge the cost of the request."""

    account: ids.AccountId
    tokens: int
    patience_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RefundTokens:
    """Refund tokens that were charged but not used."""

    account: ids.AccountId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlace:
    """Request servers from the placement coordinator.

    :param place: id of the request for a place and of the granted place.
    :param patience_s: seconds to wait until servers are free.
    :param excluded: servers on which the request failed.
    :param isolation: which other requests may share the servers.
    :param software: version that the decode server must have; None for
        any.
    """

    place: ids.RequestId
    patience_s: float
    excluded: tuple[ids.ServerId, ...]
    isolation: job.Isolation
    software: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePlace:
    """Release a granted place, or withdraw the request for one."""

    place: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class StartPrefill:
    """Send the prompt to a prefill server.

    :param produced: texts of the tokens already sent to the caller.
    """

    attempt: ids.AttemptId
    server: ids.ServerId
    produced: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartDecode:
    """Have a decode server fetch the KV cache and produce tokens.

    :param source: the server that holds the KV cache; empty if the
        decode server processes the prompt itself.
    :param handle: identifies the KV cache on the source.
    :param produced: texts of the tokens already sent to the caller.
    """

    attempt: ids.AttemptId
    server: ids.ServerId
    source: ids.ServerId
    handle: str
    produced: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Inspect:
    """Check whether a server is up and still has the KV cache."""

    attempt: ids.AttemptId
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """Commit the crash of a server to the log.

    :param fingerprint: of the request that ran on the server.
    :param isolated: whether no other suspect request ran there.
    """

    fingerprint: str
    server: ids.ServerId
    isolated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReportEarlyCrash:
    """Commit that a server crashed before the request produced output.

    :param server: the server that crashed.
    """

    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class ClearParts:
    """Commit that the parts of the prompt crash no server."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Commit that a suspect request finished without a crash."""

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
    """Free the resources that an attempt may hold on a server."""

    attempt: ids.AttemptId
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class BeginAnswer:
    """Begin the answer to the caller.

    :param head: status and headers of the first server that answered;
        opaque to this package.
    """

    head: object


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Send a token to the caller."""

    index: int
    text: str | bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Finish the answer to the caller."""

    prompt_tokens: int
    tokens: int
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """End the answer with the reason why it is not complete."""

    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class DropEvent:
    """Count an event that came late, twice or for another attempt.

    :param kind: class name of the event.
    """

    kind: str


Action = (
    RequestTokens
    | RefundTokens
    | RequestPlace
    | ReleasePlace
    | StartPrefill
    | StartDecode
    | Inspect
    | ReportCrash
    | ReportEarlyCrash
    | ClearParts
    | ClearSuspect
    | BackOff
    | CancelAttempt
    | BeginAnswer
    | Relay
    | Complete
    | Refuse
    | DropEvent
)
