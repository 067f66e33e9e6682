"""Retry policy: limits per request, backoff and retry budgets.

Each process may repeat orders to servers for a fixed share of the requests
that it admits. The same share then holds for the whole fleet without
messages between processes.
"""

import collections.abc
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
# Shares of the repeats that a fleet-wide bound allows beyond a share of the
# requests: what processes save up, what those have that start anew, and
# what is refilled within the window of the bound.
SAVED_SHARE = 0.6
START_SHARE = 0.3
REFILL_SHARE = 0.1
# Share of the repeats that the bound allows for each request. The rest
# covers processes that others do not yet know of.
RATIO_UTILIZATION = 0.8


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


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """The terms of a retry budget.

    :param ratio: repeats credited for each admitted request.
    :param max_balance: function that returns the maximum balance.
    :param first_balance: function that returns the balance of a process
        that has just started.
    :param refill_per_s: function that returns the repeats by which a small
        balance grows in a second.
    """

    ratio: float = BUDGET_RATIO
    max_balance: collections.abc.Callable = lambda: BUDGET_MAX
    first_balance: collections.abc.Callable = lambda: BUDGET_FLOOR
    refill_per_s: collections.abc.Callable = lambda: FLOOR_REFILL_PER_S


class _Budget:
    """The repeats that a process may still send.

    Below BUDGET_FLOOR, it also refills slowly over time.

    :param terms: the Terms.
    :param started_s: monotonic seconds at which the process has started.
    """

    def __init__(self, terms, started_s):
        self._terms = terms
        self._balance = min(terms.first_balance(), terms.max_balance())
        self._last_refill_s = started_s

    def credit(self, now_s):
        """Credit the budget for an admitted request."""
        self._refill(now_s)
        terms = self._terms
        self._balance = min(self._balance + terms.ratio, terms.max_balance())

    def has(self, repeats, now_s):
        """Return whether the budget suffices for repeats.

        A full budget does if it can never hold that many; it is in debt
        afterwards.
        """
        self._refill(now_s)
        needed = max(1.0, min(repeats, self._terms.max_balance()))
        return self._balance >= needed

    def debit(self, repeats):
        """Debit the budget by repeats."""
        self._balance -= repeats

    def _refill(self, now_s):
        terms = self._terms
        floor = min(BUDGET_FLOOR, terms.max_balance())
        if self._balance < floor:
            refill = (now_s - self._last_refill_s) * terms.refill_per_s()
            self._balance = min(self._balance + refill, floor)
        self._balance = min(self._balance, terms.max_balance())
        self._last_refill_s = now_s


class RetryPolicy:
    """Decides on retries for all requests of a process.

    Admitted requests credit budgets, and retries debit them: one for each
    model or service, so that requests to others do not pay for its
    repeats, and one for all, since servers call services in turn.

    :param now_s: monotonic seconds.
    :param terms: the Terms of the budget for all; None for those of a
        fleet without a stated bound.
    :param service_terms: the Terms of the other budgets, if they differ.
    """

    def __init__(self, now_s=0.0, terms=None, service_terms=None):
        terms = terms or Terms()
        self._started_s = now_s
        self._service_terms = service_terms or terms
        self._total = _Budget(terms, now_s)
        self._budgets_by_service = {}

    def record_admission(self, now_s, service=''):
        """Credit the budgets for an admitted request.

        :param now_s: monotonic seconds.
        :param service: id of the model or service that it goes to.
        """
        self._total.credit(now_s)
        self._budget(service).credit(now_s)

    def decide(
        self, failures, now_s, deadline_s, jitter, repeats=1, service=''
    ):
        """Decide whether to retry a request; a retry debits the budgets.

        :param failures: reasons of its failed attempts, oldest first.
        :param now_s: monotonic seconds.
        :param deadline_s: monotonic seconds by which a retry must start.
        :param jitter: at least 0 and below 1.
        :param repeats: orders to servers that the retry repeats.
        :param service: id of the model or service that it goes to.
        :returns: a Retry or a GiveUp.
        """
        reason = failures[-1]
        max_retries = MAX_RETRIES_BY_REASON.get(reason, 0)
        if failures.count(reason) > max_retries or len(failures) > MAX_RETRIES:
            return GiveUp(reason)
        delay_s = back_off_s(len(failures), jitter)
        if now_s + delay_s >= deadline_s:
            return GiveUp(reason)
        if not self.take_retry(now_s, repeats, service):
            return GiveUp(outcomes.Reason.RETRY_BUDGET_SPENT)
        return Retry(delay_s)

    def take_retry(self, now_s, repeats=1, service=''):
        """Debit the budgets by one retry; return whether both sufficed.

        :param repeats: orders to servers that the retry repeats.
        :param service: id of the model or service that it goes to.
        """
        budgets = (self._total, self._budget(service))
        if not all([budget.has(repeats, now_s) for budget in budgets]):
            return False
        for budget in budgets:
            budget.debit(repeats)
        return True

    def _budget(self, service):
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = _Budget(self._service_terms, self._started_s)
            self._budgets_by_service[service] = budget
        return budget


def policy_for_shared_budget(share, extra, window_s, processes, now_s):
    """Return the policy of one process under a fleet-wide retry bound.

    In any window the processes together repeat at most their saved
    budgets, those of processes that have started anew, their refills and
    their share of the window's requests to a service; the sum is below the
    bound if no process starts twice in a window.

    :param share: repeats that the bound allows per request to a service.
    :param extra: further repeats that it allows in any window.
    :param window_s: length of the window in seconds.
    :param processes: function that returns the number of processes.
    :param now_s: monotonic seconds.
    """

    def part(extra_share):
        return extra * extra_share / max(1, processes())

    ratio = share * RATIO_UTILIZATION
    return RetryPolicy(
        now_s,
        Terms(ratio, lambda: part(SAVED_SHARE), lambda: part(SAVED_SHARE)),
        Terms(
            ratio,
            lambda: part(SAVED_SHARE),
            lambda: part(START_SHARE),
            lambda: part(REFILL_SHARE) / window_s,
        ),
    )


def back_off_s(failures, jitter):
    """Return the delay before the next attempt in seconds.

    :param failures: number of failed attempts, at least 1.
    :param jitter: at least 0 and below 1.
    """
    ceiling_s = min(BASE_BACK_OFF_S * 2 ** (failures - 1), MAX_BACK_OFF_S)
    share = (jitter + failures * JITTER_STEP) % 1.0
    return ceiling_s * (0.5 + share / 2)
