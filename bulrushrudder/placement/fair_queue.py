"""Weighted fair queue of client accounts, in tokens."""

import dataclasses
import enum
import heapq
import math

from bulrushrudder.placement import backlog
from bulrushrudder.placement import events
from bulrushrudder.placement import rank_shares


class QueueClass(enum.IntEnum):
    """Classes of queued requests, in the order of dispatch."""

    INTERACTIVE = 0
    DEFERRED = 1
    LATE = 2


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A placement request in the queue.

    :param queued_s: monotonic seconds at which it was queued.
    :param deadline_s: monotonic seconds until which it may wait.
    :param number: order of arrival.
    :param grant_by_s: monotonic seconds of the latest grant that still
        meets the target, if late answers are accepted.
    :param live: whether it is still queued in this class; the heaps drop
        other entries when they come up.
    :param rank: its rank among all requests, 0 is the highest.
    """

    request: events.PlacementRequested
    queued_s: float
    deadline_s: float
    number: int
    grant_by_s: float = math.inf
    queue_class: QueueClass = QueueClass.DEFERRED
    live: bool = True
    rank: int = 0

    @property
    def order_s(self):
        """Return the time by which requests of an account are ordered.

        Among those past their target, callers that have waited longest
        over all their attempts go first, so that one that was refused and
        came back is not overtaken by those that came later.
        """
        if self.queue_class is QueueClass.LATE:
            return self.grant_by_s
        return self.deadline_s


@dataclasses.dataclass(slots=True)
class _AccountQueue:
    """Queued requests of an account in a class.

    :param virtual_start: virtual time at which its next request is due.
    :param queued: whether the heap of accounts has it with that time.
    """

    account: str
    virtual_start: float = 0.0
    queued: bool = False
    heap: list[tuple[float, int, QueuedRequest]] = dataclasses.field(
        default_factory=list
    )

    def add(self, queued):
        """Add a request."""
        heapq.heappush(self.heap, (queued.order_s, queued.number, queued))

    def head(self):
        """Return the request that is next, or None."""
        while self.heap and not self.heap[0][2].live:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class _RankQueue:
    """Accounts with queued requests of one class and rank.

    They are in the order of their virtual time.
    """

    def __init__(self):
        self._queues_by_account = {}
        self._account_heap = []
        self._virtual_time = 0.0

    @property
    def has_accounts(self):
        """Return whether accounts may have queued requests."""
        return bool(self._account_heap)

    def add(self, queued):
        """Queue a request."""
        account = queued.request.account
        account_queue = self._queues_by_account.get(account)
        if account_queue is None:
            account_queue = _AccountQueue(account)
            self._queues_by_account[account] = account_queue
        account_queue.add(queued)
        if not account_queue.queued:
            account_queue.virtual_start = max(
                account_queue.virtual_start, self._virtual_time
            )
            self._push(account_queue)

    def heads(self, limit):
        """Return the first requests of up to `limit` accounts, in order."""
        found = []
        account_queues = []
        while self._account_heap and len(found) < limit:
            account_queue = self._pop()
            if account_queue is None:
                continue
            found.append(account_queue.head())
            account_queues.append(account_queue)
        for account_queue in account_queues:
            self._push(account_queue)
        return found

    def charge(self, request, tokens):
        """Advance an account's virtual time by the tokens granted."""
        account_queue = self._queues_by_account[request.account]
        self._virtual_time = max(
            self._virtual_time, account_queue.virtual_start
        )
        account_queue.virtual_start += tokens / request.weight
        self._push(account_queue)

    def _push(self, account_queue):
        account_queue.queued = True
        heapq.heappush(
            self._account_heap,
            (account_queue.virtual_start, account_queue.account),
        )

    def _pop(self):
        virtual_start, account = heapq.heappop(self._account_heap)
        account_queue = self._queues_by_account[account]
        if (
            not account_queue.queued
            or account_queue.virtual_start != virtual_start
        ):
            return None
        account_queue.queued = False
        return account_queue if account_queue.head() is not None else None


class _ClassQueue:
    """Queued requests of one class, by rank."""

    def __init__(self):
        self._queues_by_rank = {}

    def add(self, queued):
        """Queue a request."""
        rank_queue = self._queues_by_rank.get(queued.rank)
        if rank_queue is None:
            rank_queue = _RankQueue()
            self._queues_by_rank[queued.rank] = rank_queue
        rank_queue.add(queued)

    def heads(self, limit, first):
        """Return the first requests of up to `limit` accounts, in order.

        Each rank is represented, so that accounts of a higher rank that
        are held back do not hold up a lower one.

        :param first: function that returns whether a rank goes before
            those that are above it.
        """
        ranks = sorted(
            rank
            for rank, rank_queue in self._queues_by_rank.items()
            if rank_queue.has_accounts
        )
        if len(ranks) > 1:
            ranks.sort(key=lambda rank: (not first(rank), rank))
        found = []
        for position, rank in enumerate(ranks):
            later = len(ranks) - position - 1
            room = max(1, limit - len(found) - later)
            found += self._queues_by_rank[rank].heads(room)
        return found

    def charge(self, queued, tokens):
        """Advance an account's virtual time by the tokens granted."""
        rank_queue = self._queues_by_rank[queued.rank]
        rank_queue.charge(queued.request, tokens)


class FairQueue:
    """Placement requests that wait for servers.

    Interactive requests go before deferred ones, and requests that can
    no longer meet their target go last. Within a class, higher ranks go
    first, but each rank keeps its least share. Within a rank, accounts
    share by weight, in tokens of prompt and output bound. Within an
    account, the earliest deadline goes first, and among late requests
    the one whose caller has waited longest.

    :ivar shares: the RankShares.
    :ivar backlog: the Backlog.
    """

    def __init__(self):
        self._queues_by_class = {
            queue_class: _ClassQueue() for queue_class in QueueClass
        }
        self.shares = rank_shares.RankShares()
        self.backlog = backlog.Backlog()
        self._requests_by_hold = {}
        self._deadline_heap = []
        self._target_heap = []
        self._last_number = 0

    def __len__(self):
        """Return the number of queued requests."""
        return len(self._requests_by_hold)

    def __contains__(self, hold):
        """Return whether the request of a hold is queued."""
        return hold in self._requests_by_hold

    def add(self, request, now_s, lead_s=0.0):
        """Queue a request until its patience or its target ends.

        :param lead_s: expected seconds from a grant to the first token.
        """
        self._last_number += 1
        rank = self.shares.resolve(request.rank, now_s)
        self.shares.record_request(rank, _tokens_of(request), now_s)
        wait_s = request.patience_s
        if not request.accepts_late_answer:
            wait_s = min(wait_s, request.first_token_s)
        queue_class = QueueClass.DEFERRED
        if request.interactive:
            queue_class = QueueClass.INTERACTIVE
        queued = QueuedRequest(
            request,
            now_s,
            now_s + wait_s,
            self._last_number,
            now_s + self._target_s(request) - lead_s,
            queue_class,
            rank=rank,
        )
        self._requests_by_hold[request.hold] = queued
        self._queues_by_class[queue_class].add(queued)
        self.backlog.add(queued)
        self._add_deadline(queued)
        if request.accepts_late_answer:
            target = queued.grant_by_s, queued.number, queued
            heapq.heappush(self._target_heap, target)

    def demote(self, now_s):
        """Move requests that can no longer meet their target to LATE.

        :returns: the QueuedRequests that were moved.
        """
        moved = []
        while self._target_heap and self._target_heap[0][0] < now_s:
            _, _, queued = heapq.heappop(self._target_heap)
            if not queued.live:
                continue
            late = dataclasses.replace(queued, queue_class=QueueClass.LATE)
            queued.live = False
            self.backlog.remove(queued)
            self._requests_by_hold[late.request.hold] = late
            self._queues_by_class[QueueClass.LATE].add(late)
            self.backlog.add(late)
            self._add_deadline(late)
            moved.append(late)
        return moved

    def remove(self, hold):
        """Remove the request of a hold.

        :returns: the QueuedRequest, or None if it is not queued.
        """
        queued = self._requests_by_hold.pop(hold, None)
        if queued is not None:
            queued.live = False
            self.backlog.remove(queued)
        return queued

    def grant(self, queued, now_s):
        """Remove a request and charge its account and rank."""
        request = queued.request
        self.remove(request.hold)
        tokens = _tokens_of(request)
        self._queues_by_class[queued.queue_class].charge(queued, tokens)
        self.shares.record_grant(queued.rank, tokens, now_s)

    def expired(self, now_s):
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadline_heap and _is_expired(
            self._deadline_heap[0][-1], now_s
        ):
            *_, queued = heapq.heappop(self._deadline_heap)
            if queued.live:
                self.remove(queued.request.hold)
                expired.append(queued)
        return expired

    def take_all(self):
        """Remove and return all requests."""
        return [self.remove(hold) for hold in tuple(self._requests_by_hold)]

    def heads(self, queue_class, limit, now_s):
        """Return the next requests of a class, one per account and rank."""
        return self._queues_by_class[queue_class].heads(
            limit, lambda rank: self.shares.below_least(rank, now_s)
        )

    def calls(self):
        """Return the calls of all queued requests."""
        waiting = self._requests_by_hold.values()
        return tuple(queued.request.call for queued in waiting)

    def _target_s(self, request):
        """Return the seconds after which a request is late.

        The target of the model is the strictest of its routes. Kinds of
        several ranks differ in their targets, too, and one that is past
        the target of another can still be timely.
        """
        if self.shares.several and request.own_first_token_s is not None:
            return request.own_first_token_s
        return request.first_token_s

    def _add_deadline(self, queued):
        heapq.heappush(
            self._deadline_heap,
            (queued.deadline_s, queued.number, queued.queue_class, queued),
        )


def _tokens_of(request):
    return request.prompt_tokens + request.output_tokens


def _is_expired(queued, now_s):
    return not queued.live or queued.deadline_s < now_s
