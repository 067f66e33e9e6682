"""A queue shared fairly by client accounts, in tokens."""

import dataclasses
import heapq

from bulrushrudder.placement import events


@dataclasses.dataclass(slots=True)
class Waiting:
    """A question in the queue.

    :param asked_s: monotonic seconds at which it came.
    :param deadline_s: monotonic seconds until which it can wait.
    """

    asked: events.PlaceAsked
    asked_s: float
    deadline_s: float
    number: int
    live: bool = True

    def __lt__(self, other):
        """Order by deadline, then by arrival."""
        mine = (self.deadline_s, self.number)
        return mine < (other.deadline_s, other.number)


@dataclasses.dataclass(slots=True)
class _Share:
    """An account's part of a class.

    :param tag: virtual time at which its next question is due.
    :param queued: whether it stands in the order with that tag.
    """

    account: str
    tag: float = 0.0
    queued: bool = False
    heap: list[Waiting] = dataclasses.field(default_factory=list)

    def head(self):
        """Return the most urgent question, or None."""
        while self.heap and not self.heap[0].live:
            heapq.heappop(self.heap)
        return self.heap[0] if self.heap else None


class _Class:
    """Accounts that wait in one route class, by virtual time."""

    def __init__(self):
        self._shares_by_account = {}
        self._order = []
        self._time = 0.0

    def add(self, waiting):
        """Queue a question."""
        account = waiting.asked.account
        share = self._shares_by_account.get(account)
        if share is None:
            share = _Share(account)
            self._shares_by_account[account] = share
        heapq.heappush(share.heap, waiting)
        if not share.queued:
            share.tag = max(share.tag, self._time)
            self._enter(share)

    def heads(self, most):
        """Return the first questions of up to some accounts, in order."""
        found = []
        shares = []
        while self._order and len(found) < most:
            share = self._pop()
            if share is None:
                continue
            found.append(share.head())
            shares.append(share)
        for share in shares:
            self._enter(share)
        return found

    def charge(self, asked, tokens):
        """Move an account back by what it was granted."""
        share = self._shares_by_account[asked.account]
        self._time = max(self._time, share.tag)
        share.tag += tokens / asked.weight
        self._enter(share)

    def _enter(self, share):
        share.queued = True
        heapq.heappush(self._order, (share.tag, share.account))

    def _pop(self):
        tag, account = heapq.heappop(self._order)
        share = self._shares_by_account[account]
        if not share.queued or share.tag != tag:
            return None
        share.queued = False
        return share if share.head() is not None else None


class FairQueue:
    """Questions that wait for servers.

    Interactive ones go before deferred ones; within a class accounts
    share by weight, in tokens of prompt and output bound; within an
    account the earliest deadline is first.
    """

    def __init__(self):
        self._classes_by_interactive = {True: _Class(), False: _Class()}
        self._waiting_by_hold = {}
        self._deadlines = []
        self._last_number = 0

    def __len__(self):
        """Return how many questions wait."""
        return len(self._waiting_by_hold)

    def __contains__(self, hold):
        """Return whether a question waits."""
        return hold in self._waiting_by_hold

    def add(self, asked, now_s):
        """Queue a question until its patience or its target ends."""
        self._last_number += 1
        wait_s = min(asked.patience_s, asked.first_token_s)
        waiting = Waiting(asked, now_s, now_s + wait_s, self._last_number)
        self._waiting_by_hold[asked.hold] = waiting
        self._classes_by_interactive[asked.interactive].add(waiting)
        heapq.heappush(self._deadlines, waiting)

    def remove(self, hold):
        """Take a question out.

        :returns: the Waiting, or None where it does not wait.
        """
        waiting = self._waiting_by_hold.pop(hold, None)
        if waiting is not None:
            waiting.live = False
        return waiting

    def grant(self, waiting):
        """Take a question out and charge its account."""
        asked = waiting.asked
        self.remove(asked.hold)
        tokens = asked.prompt_tokens + asked.output_tokens
        self._classes_by_interactive[asked.interactive].charge(asked, tokens)

    def expired(self, now_s):
        """Take out and return the questions whose time is over."""
        found = []
        while self._deadlines and self._is_over(self._deadlines[0], now_s):
            waiting = heapq.heappop(self._deadlines)
            if waiting.live:
                self.remove(waiting.asked.hold)
                found.append(waiting)
        return found

    def heads(self, interactive, most):
        """Return those of a class to be served next, an account each."""
        return self._classes_by_interactive[interactive].heads(most)

    def calls(self):
        """Return the calls of all that wait."""
        waiting = self._waiting_by_hold.values()
        return tuple(found.asked.call for found in waiting)

    def _is_over(self, waiting, now_s):
        return not waiting.live or waiting.deadline_s < now_s
