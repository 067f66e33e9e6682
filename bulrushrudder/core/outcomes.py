"""Outcomes of requests: numbered reasons and what is known of the run."""

import dataclasses
import enum


class Execution(enum.Enum):
    """Whether a request that got no answer ran on a backend server."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class Reason(enum.IntEnum):
    """Why a request was refused or failed; the numbers never change."""

    MALFORMED_REQUEST = 1001
    BODY_TOO_LARGE = 1002
    ROUTE_UNKNOWN = 1003
    MODEL_UNKNOWN = 1004
    BODY_TOO_SLOW = 1005
    KEY_MISSING = 2001
    KEY_UNKNOWN = 2002
    ROUTE_FORBIDDEN = 2003
    COST_ABOVE_BURST = 3001
    OVER_RATE = 3002
    INSIDE_RATE = 3003
    NO_SERVER = 4001
    QUEUE_FULL = 4002
    TARGET_UNREACHABLE = 4003
    VIEW_STALE = 5001
    SHUTTING_DOWN = 5002
    CONTROL_UNREACHABLE = 5003
    BACKEND_FAILED = 6001
    BACKEND_SILENT = 6002
    REQUEST_QUARANTINED = 6003
    RETRY_BUDGET_SPENT = 6004
    BACKEND_FULL = 6005
    TRANSFER_FAILED = 6006
    BACKEND_UNREACHABLE = 6007
    ID_REUSED = 7001
    ID_TOO_OLD = 7002
    ID_RUNNING = 7003
    OUTCOME_UNKNOWN = 7004
    ANSWER_NOT_KEPT = 7005
    REGISTER_FULL = 7006
    CALLER_GONE = 8001
    DEADLINE_PASSED = 8002
    INTERNAL_ERROR = 9001


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that gets no whole answer.

    :param reason: the numbered reason.
    :param execution: whether the request ran on a backend server.
    :param detail: a sentence for the caller, free of secrets.
    :param retry_after_s: seconds after which a resend helps, if any.
    """

    reason: Reason
    execution: Execution
    detail: str
    retry_after_s: float | None = None


def not_run(reason, detail, retry_after_s=None):
    """Return the refusal of a request of which nothing was sent."""
    return Refusal(reason, Execution.NOT_RUN, detail, retry_after_s)
