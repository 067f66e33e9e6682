"""Grants the tokens of the client accounts that a VM answers for."""

import collections
import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.limits import bucket


@dataclasses.dataclass(frozen=True, slots=True)
class TokensAsked:
    """A request wants its tokens.

    :param call: names the question in the answer.
    :param deadline_s: monotonic seconds until which it can wait.
    """

    call: int
    account: ids.AccountId
    tokens: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokensReturned:
    """A grant was not used up."""

    account: ids.AccountId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The tokens of a question are granted."""

    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The tokens of a question cannot be had in time."""

    call: int
    reason: outcomes.Reason
    retry_after_s: float


class Authority:
    """Buckets and waiting questions by client account."""

    def __init__(self):
        self._buckets_by_account = {}
        self._waiting_by_account = {}

    def handle(self, event, accounts_by_id, now_s):
        """Take an event and return grants and refusals.

        :param accounts_by_id: the client accounts in force.
        :param now_s: monotonic seconds.
        """
        match event:
            case TokensAsked():
                return self._ask(event, accounts_by_id, now_s)
            case TokensReturned(account=account, tokens=tokens):
                self._bucket(account, accounts_by_id, now_s).put_back(
                    tokens, now_s
                )
                return self._serve(account, accounts_by_id, now_s)
            case Ticked():
                found = []
                for account in tuple(self._waiting_by_account):
                    found += self._serve(account, accounts_by_id, now_s)
                return found
        raise AssertionError(f'unknown event {event!r}')

    def _ask(self, event, accounts_by_id, now_s):
        account = accounts_by_id.get(event.account)
        if account is None:
            reason = outcomes.Reason.KEY_UNKNOWN
            return [Refuse(event.call, reason, 0.0)]
        if event.tokens > account.burst:
            reason = outcomes.Reason.COST_ABOVE_BURST
            return [Refuse(event.call, reason, 0.0)]
        waiting = self._waiting_by_account.setdefault(
            event.account, collections.deque()
        )
        found = self._bucket(event.account, accounts_by_id, now_s)
        ahead = sum(question.tokens for question in waiting)
        wait_s = found.wait_s(ahead + event.tokens, now_s)
        if now_s + wait_s > event.deadline_s:
            reason = outcomes.Reason.OVER_RATE
            return [Refuse(event.call, reason, wait_s)]
        waiting.append(event)
        return self._serve(event.account, accounts_by_id, now_s)

    def _serve(self, account, accounts_by_id, now_s):
        waiting = self._waiting_by_account.get(account, ())
        found = self._bucket(account, accounts_by_id, now_s)
        grants = []
        while waiting and found.take(waiting[0].tokens, now_s):
            grants.append(Grant(waiting.popleft().call))
        if not waiting:
            self._waiting_by_account.pop(account, None)
        return grants

    def _bucket(self, account_id, accounts_by_id, now_s):
        account = accounts_by_id[account_id]
        found = self._buckets_by_account.get(account_id)
        if found is None:
            found = bucket.Bucket(
                account.rate, account.burst, account.burst, now_s
            )
            self._buckets_by_account[account_id] = found
        if (found.rate, found.burst) != (account.rate, account.burst):
            found.change(account.rate, account.burst, now_s)
        return found
