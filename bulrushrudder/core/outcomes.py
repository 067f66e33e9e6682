"""Outcomes of requests: numbered reasons and execution states."""

import dataclasses
import enum


class Execution(enum.Enum):
    """Whether an unanswered request ran on a backend server."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class Reason(enum.IntEnum):
    """Reasons why requests are refused or fail; numbers are stable."""

    MALFORMED_REQUEST = 1001
    BODY_TOO_LARGE = 1002
    ROUTE_UNKNOWN = 1003
    MODEL_UNKNOWN = 1004
    BODY_TOO_SLOW = 1005
    HEADERS_TOO_LARGE = 1006
    KEY_MISSING = 2001
    KEY_UNKNOWN = 2002
    ROUTE_FORBIDDEN = 2003
    COST_ABOVE_BURST = 3001
    OVER_RATE = 3002
    INSIDE_RATE = 3003
    NO_SERVER = 4001
    QUEUE_FULL = 4002
    TARGET_UNREACHABLE = 4003
    STREAM_UNKNOWN = 4004
    VIEW_STALE = 5001
    SHUTTING_DOWN = 5002
    CONTROL_UNREACHABLE = 5003
    MEMORY_SHORT = 5004
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
    """The reason why a request gets no complete answer.

    :param reason: the numbered reason.
    :param execution: whether the request ran on a backend server.
    :param detail: a message for the caller, without secrets.
    :param retry_after_s: seconds after which the caller should retry;
        None if a retry doesn't help.
    :param of_server: whether a backend server failed, and no lost path to
        it can explain that.
    """

    reason: Reason
    execution: Execution
    detail: str
    retry_after_s: float | None = None
    of_server: bool = False


def not_run(reason, detail, retry_after_s=None):
    """Return the Refusal of a request that no backend server got."""
    return Refusal(reason, Execution.NOT_RUN, detail, retry_after_s)
