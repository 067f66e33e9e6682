"""A queue shared fairly by client accounts, in tokens."""

import dataclasses
import enum
import heapq
import math

from bulrushrudder.placement import events


class Standing(enum.IntEnum):
    """The classes of questions, in the order in which they are served."""

    INTERACTIVE = 0
    DEFERRED = 1
    LATE = 2


@dataclasses.dataclass(slots=True)
class Waiting:
    """A question in the queue.

    :param asked_s: monotonic seconds at which it came.
    :param deadline_s: monotonic seconds until which it can wait.
    :param grant_by_s: monotonic seconds until which a grant still keeps
        the target, where a late answer counts too.
    """

    asked: events.PlaceAsked
    asked_s: float
    deadline_s: float
    number: int
    grant_by_s: float = math.inf
    standing: Standing = Standing.DEFERRED
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

    Interactive ones go before deferred ones, and those that can no
    longer keep their target go last; within a class accounts
    share by weight, in tokens of prompt and output bound; within an
    account the earliest deadline is first.
    """

    def __init__(self):
        self._classes = {standing: _Class() for standing in Standing}
        self._waiting_by_hold = {}
        self._deadlines = []
        self._targets = []
        self._last_number = 0

    def __len__(self):
        """Return how many questions wait."""
        return len(self._waiting_by_hold)

    def __contains__(self, hold):
        """Return whether a question waits."""
        return hold in self._waiting_by_hold

    def add(self, asked, now_s, lead_s=0.0):
        """Queue a question until its patience or its target ends.

        :param lead_s: seconds from a grant to the first token.
        """
        self._last_number += 1
        wait_s = asked.patience_s
        if not asked.accepts_late_answer:
            wait_s = min(wait_s, asked.first_token_s)
        standing = Standing.DEFERRED
        if asked.interactive:
            standing = Standing.INTERACTIVE
        waiting = Waiting(
            asked,
            now_s,
            now_s + wait_s,
            self._last_number,
            now_s + asked.first_token_s - lead_s,
            standing,
        )
        self._waiting_by_hold[asked.hold] = waiting
        self._classes[standing].add(waiting)
        heapq.heappush(self._deadlines, waiting)
        if asked.accepts_late_answer:
            target = waiting.grant_by_s, waiting.number, waiting
            heapq.heappush(self._targets, target)

    def demote(self, now_s):
        """Put questions last that can no longer keep their target."""
        while self._targets and self._targets[0][0] < now_s:
            _, _, waiting = heapq.heappop(self._targets)
            if not waiting.live:
                continue
            late = dataclasses.replace(waiting, standing=Standing.LATE)
            waiting.live = False
            self._waiting_by_hold[late.asked.hold] = late
            self._classes[Standing.LATE].add(late)
            heapq.heappush(self._deadlines, late)

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
        self._classes[waiting.standing].charge(asked, tokens)

    def expired(self, now_s):
        """Take out and return the questions whose time is over."""
        found = []
        while self._deadlines and self._is_over(self._deadlines[0], now_s):
            waiting = heapq.heappop(self._deadlines)
            if waiting.live:
                self.remove(waiting.asked.hold)
                found.append(waiting)
        return found

    def heads(self, standing, most):
        """Return those of a class to be served next, an account each."""
        return self._classes[standing].heads(most)

    def calls(self):
        """Return the calls of all that wait."""
        waiting = self._waiting_by_hold.values()
        return tuple(found.asked.call for found in waiting)

    def _is_over(self, waiting, now_s):
        return not waiting.live or waiting.deadline_s < now_s
