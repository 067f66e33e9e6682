"""The immutable description of a request to a model."""

import dataclasses
import enum
import math

from bulrushrudder.core import ids


class Isolation(enum.IntEnum):
    """Which other requests may share a server with this one.

    NONE: all; NO_OTHER_SUSPECT: only requests that are not suspected of
    crashing servers; ALONE: no other request.
    """

    NONE = 0
    NO_OTHER_SUSPECT = 1
    ALONE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request to a model, as it was admitted.

    :param account: the client account; None on an open route.
    :param prompt_tokens: estimate until the engine has counted them.
    :param output_tokens: maximum number of output tokens.
    :param cost: tokens charged at admission.
    :param patience_s: seconds to wait for tokens and for servers.
    :param repeatable: whether the request may be retried after it may
        have run.
    :param fingerprint: the same for every resend of the request.
    :param isolation: required because of earlier crashes of servers
        that ran the same fingerprint.
    :param deadline_s: monotonic seconds by which the answer must be
        complete; no retry is scheduled after it.
    :param first_token_deadline_s: monotonic seconds by which the first
        output token must be produced, because callers disconnect then.
    :param first_token_lead_s: expected seconds from the grant of a place to
        the first token. A place that is granted later than that before
        first_token_deadline_s is of no use.
    :param jitter: spreads retries; at least 0 and below 1.
    :param prefix: digests of prefixes of the prompt, shortest first.
    :param parts: ids of the parts of the prompt that other requests may
        share, in order; None if the prompt is not known by its parts.
    :param content: what is sent to the engines; opaque to this package.
    :param attempts: maximum number of runs on servers; 0 if unlimited.
    :param expected_tokens: expected number of output tokens; 0 if
        unknown.
    :param event_tokens: output tokens in one event of the answer.
    :param accepts_late_answer: whether an answer after the latency target is
        still of use.
    :param prefill_counts_as_run: whether a prefill counts as a run.
    :param waiting_since_s: monotonic time since which the caller waits,
        including earlier attempts of its own; None if unknown.
    :param stream: the caller's id of the stream that the request begins;
        empty if callers cannot take it up again.
    :param software: version of the software that began the stream which
        the request takes up again; None for a new stream.
    :param event_wait_s: seconds without an event after which callers leave a
        stream; 0 if unknown.
    :param charge_is_final: whether the charge is final once the request
        has run, so that unused tokens are not refunded.
    :param rank: priority among requests that wait for servers, 0 is the
        highest; None if the route has none.
    :param target_s: seconds to the first token that the route aims at; None
        if it has no target of its own.
    """

    request: ids.RequestId
    owner: ids.Owner
    account: ids.AccountId | None
    model: ids.ModelId
    prompt: str
    prompt_tokens: int
    output_tokens: int
    cost: int
    interactive: bool
    patience_s: float
    repeatable: bool = True
    fingerprint: str = ''
    isolation: Isolation = Isolation.NONE
    deadline_s: float = math.inf
    first_token_deadline_s: float = math.inf
    first_token_lead_s: float = 0.0
    jitter: float = 0.5
    prefix: tuple[int, ...] = ()
    parts: tuple[str, ...] | None = None
    content: object = None
    attempts: int = 0
    expected_tokens: int = 0
    event_tokens: int = 1
    accepts_late_answer: bool = False
    prefill_counts_as_run: bool = True
    charge_is_final: bool = False
    waiting_since_s: float | None = None
    stream: str = ''
    software: str | None = None
    event_wait_s: float = 0.0
    rank: int | None = None
    target_s: float | None = None
