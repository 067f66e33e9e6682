"""Which failures are tried again, when, and how often over the fleet.

Each process may retry a fixed share of the requests that it admits, so
the shares add up to the same share of the fleet's load without any
message between processes.
"""

import dataclasses
import types

from bulrushrudder.core import outcomes

BUDGET_RATIO = 0.1
BUDGET_MAX = 50.0
BUDGET_FLOOR = 10.0
FLOOR_REFILL_PER_S = 0.1
BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0
JITTER_STEP = 0.618

MAX_RETRIES_BY_REASON = types.MappingProxyType(
    {
        outcomes.Reason.BACKEND_FAILED: 3,
        outcomes.Reason.BACKEND_SILENT: 2,
        outcomes.Reason.BACKEND_FULL: 2,
        outcomes.Reason.BACKEND_UNREACHABLE: 6,
        outcomes.Reason.TRANSFER_FAILED: 3,
    }
)
MAX_RETRIES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again after a delay in seconds."""

    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Do not try again."""

    reason: outcomes.Reason


class RetryPolicy:
    """Decides on retries for all requests of a process.

    :param ratio: retries allowed for each admitted request.
    """

    def __init__(self, ratio=BUDGET_RATIO):
        self._ratio = ratio
        self._balance = BUDGET_FLOOR
        self._refilled_s = None

    def admitted(self):
        """Take note of an admitted request."""
        self._balance = min(self._balance + self._ratio, BUDGET_MAX)

    def decide(self, failures, now_s, deadline_s, jitter):
        """Decide whether a request is tried again.

        :param failures: reasons of its failed attempts, oldest first.
        :param jitter: at least 0 and below 1.
        :returns: a Retry or a GiveUp.
        """
        reason = failures[-1]
        allowed = MAX_RETRIES_BY_REASON.get(reason, 0)
        if failures.count(reason) > allowed or len(failures) > MAX_RETRIES:
            return GiveUp(reason)
        delay_s = back_off_s(len(failures), jitter)
        if now_s + delay_s >= deadline_s:
            return GiveUp(reason)
        if not self.may_try_again(now_s):
            return GiveUp(outcomes.Reason.RETRY_BUDGET_SPENT)
        return Retry(delay_s)

    def may_try_again(self, now_s):
        """Take one more try out of the budget, if it holds one."""
        self._refill(now_s)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _refill(self, now_s):
        if self._refilled_s is not None and self._balance < BUDGET_FLOOR:
            gained = (now_s - self._refilled_s) * FLOOR_REFILL_PER_S
            self._balance = min(self._balance + gained, BUDGET_FLOOR)
        self._refilled_s = now_s


def back_off_s(failures, jitter):
    """Return the delay before the next attempt in seconds.

    :param failures: how many attempts have failed.
    :param jitter: at least 0 and below 1.
    """
    ceiling_s = min(BASE_DELAY_S * 2 ** (failures - 1), MAX_DELAY_S)
    share = (jitter + failures * JITTER_STEP) % 1.0
    return ceiling_s * (0.5 + share / 2)
