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
BASE_BACK_OFF_S = 0.05
MAX_BACK_OFF_S = 2.0
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
# Part of a bound over the fleet that its processes use: the rest is for
# refills and for processes that the others do not know yet.
FLEET_BOUND_UTILIZATION = 0.6


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
    :param most: function that returns the retries that may be saved up.
    """

    def __init__(self, ratio=BUDGET_RATIO, max_balance=lambda: BUDGET_MAX):
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = min(BUDGET_FLOOR, max_balance())
        self._last_refill_s = None

    def admitted(self):
        """Take note of an admitted request."""
        self._balance = min(self._balance + self._ratio, self._max_balance())

    def decide(self, failures, now_s, deadline_s, jitter):
        """Decide whether a request is tried again.

        :param failures: reasons of its failed attempts, oldest first.
        :param jitter: at least 0 and below 1.
        :returns: a Retry or a GiveUp.
        """
        reason = failures[-1]
        max_retries = MAX_RETRIES_BY_REASON.get(reason, 0)
        if failures.count(reason) > max_retries or len(failures) > MAX_RETRIES:
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
        floor = min(BUDGET_FLOOR, self._max_balance())
        if self._last_refill_s is not None and self._balance < floor:
            refill = (now_s - self._last_refill_s) * FLOOR_REFILL_PER_S
            self._balance = min(self._balance + refill, floor)
        self._balance = min(self._balance, self._max_balance())
        self._last_refill_s = now_s


def within(share, extra, processes):
    """Return the policy of one process where a bound holds for all.

    In any window the processes together retry at most their savings,
    their refills and their part of the window's requests; all of that
    is less than the bound.

    :param share: retries that the bound allows for each request.
    :param extra: retries that it allows in a window beside those.
    :param processes: function that returns how many processes share it.
    """
    return RetryPolicy(
        min(BUDGET_RATIO, share * FLEET_BOUND_UTILIZATION),
        lambda: extra * FLEET_BOUND_UTILIZATION / max(1, processes()),
    )


def back_off_s(failures, jitter):
    """Return the delay before the next attempt in seconds.

    :param failures: how many attempts have failed.
    :param jitter: at least 0 and below 1.
    """
    ceiling_s = min(BASE_BACK_OFF_S * 2 ** (failures - 1), MAX_BACK_OFF_S)
    share = (jitter + failures * JITTER_STEP) % 1.0
    return ceiling_s * (0.5 + share / 2)
