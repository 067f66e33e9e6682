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
    :param jitter: spreads retries; at least 0 and below 1.
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
    jitter: float = 0.5
