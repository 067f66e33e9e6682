"""What a caller asked of a model."""

import dataclasses
import enum
import math

from bulrushrudder.core import ids


class Isolation(enum.IntEnum):
    """Which other requests may share a server with this one."""

    NONE = 0
    NO_OTHER_SUSPECT = 1
    ALONE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One request to a model, as it was admitted.

    :param account: the client account; None on an open route.
    :param cost: tokens charged at admission.
    :param output_tokens: the bound on output.
    :param patience_s: seconds to wait for tokens and for servers.
    :param repeatable: whether the request may be tried again.
    :param fingerprint: the same for every resend of the request.
    :param isolation: what is known of earlier runs of the fingerprint.
    :param deadline_s: monotonic seconds after which nothing is retried.
    :param begin_by_s: monotonic seconds by which the answer must begin,
        since callers leave then.
    :param jitter: spreads retries; at least 0 and below 1.
    :param prefix: digests of the start of the prompt, shortest first.
    :param content: what the engines get; opaque here.
    :param attempts: servers that may run the request, 0 for no bound.
    :param expected_tokens: output to expect, 0 where nobody says.
    :param event_tokens: output tokens in one event of the answer.
    :param late_counts: whether an answer after the target is of use.
    :param prefill_runs: whether a prefill counts as a run.
    :param began_s: monotonic seconds since which the caller waits, in
        earlier tries too; None where nobody says.
    :param charge_stays: whether the tokens that were charged stay spent
        once the request has run.
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
    begin_by_s: float = math.inf
    jitter: float = 0.5
    prefix: tuple[int, ...] = ()
    content: object = None
    attempts: int = 0
    expected_tokens: int = 0
    event_tokens: int = 1
    late_counts: bool = False
    prefill_runs: bool = True
    charge_stays: bool = False
    began_s: float | None = None
