"""Retry policy: limits per request, backoff and a retry budget.

Each process may retry a fixed share of the requests that it admits. The
same share then holds for the whole fleet without messages between
processes.
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
# Successive delays of a request differ in jitter by this step, modulo 1.
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
# Share of a fleet-wide retry bound that is distributed to processes. The
# rest covers refills and processes that others do not yet know of.
FLEET_BOUND_UTILIZATION = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry after a delay."""

    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Do not retry.

    :param reason: the failure, or that the retry budget is spent.
    """

    reason: outcomes.Reason


class RetryPolicy:
    """Decides on retries for all requests of a process.

    Admitted requests credit a budget and retries debit it. While the
    budget is below BUDGET_FLOOR, it also refills slowly over time.

    :param ratio: retries credited for each admitted request.
    :param max_balance: function that returns the maximum budget.
    """

    def __init__(self, ratio=BUDGET_RATIO, max_balance=lambda: BUDGET_MAX):
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = min(BUDGET_FLOOR, max_balance())
        self._last_refill_s = None

    def record_admission(self):
        """Credit the budget for an admitted request."""
        self._balance = min(self._balance + self._ratio, self._max_balance())

    def decide(self, failures, now_s, deadline_s, jitter, repeats=1):
        """Decide whether to retry a request; a retry debits the budget.

        :param failures: reasons of its failed attempts, oldest first.
        :param now_s: monotonic seconds.
        :param deadline_s: monotonic seconds by which a retry must start.
        :param jitter: at least 0 and below 1.
        :param repeats: orders to servers that the retry repeats.
        :returns: a Retry or a GiveUp.
        """
        reason = failures[-1]
        max_retries = MAX_RETRIES_BY_REASON.get(reason, 0)
        if failures.count(reason) > max_retries or len(failures) > MAX_RETRIES:
            return GiveUp(reason)
        delay_s = back_off_s(len(failures), jitter)
        if now_s + delay_s >= deadline_s:
            return GiveUp(reason)
        if not self.take_retry(now_s, repeats):
            return GiveUp(outcomes.Reason.RETRY_BUDGET_SPENT)
        return Retry(delay_s)

    def take_retry(self, now_s, repeats=1):
        """Debit the budget by one retry; return whether it sufficed.

        :param repeats: orders to servers that the retry repeats.
        """
        self._refill(now_s)
        if self._balance < repeats:
            return False
        self._balance -= repeats
        return True

    def _refill(self, now_s):
        floor = min(BUDGET_FLOOR, self._max_balance())
        if self._last_refill_s is not None and self._balance < floor:
            refill = (now_s - self._last_refill_s) * FLOOR_REFILL_PER_S
            self._balance = min(self._balance + refill, floor)
        self._balance = min(self._balance, self._max_balance())
        self._last_refill_s = now_s


def policy_for_shared_budget(share, extra, processes):
    """Return the policy of one process under a fleet-wide retry bound.

    In any time window the processes together retry at most their saved
    budgets, their refills and their share of the window's requests; the
    sum is below the bound.

    :param share: retries that the bound allows per request.
    :param extra: further retries that it allows in any window.
    :param processes: function that returns the number of processes.
    """
    return RetryPolicy(
        min(BUDGET_RATIO, share * FLEET_BOUND_UTILIZATION),
        lambda: extra * FLEET_BOUND_UTILIZATION / max(1, processes()),
    )


def back_off_s(failures, jitter):
    """Return the delay before the next attempt in seconds.

    :param failures: number of failed attempts, at least 1.
    :param jitter: at least 0 and below 1.
    """
    ceiling_s = min(BASE_BACK_OFF_S * 2 ** (failures - 1), MAX_BACK_OFF_S)
    share = (jitter + failures * JITTER_STEP) % 1.0
    return ceiling_s * (0.5 + share / 2)
