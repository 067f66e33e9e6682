"""Token balance of one client account that this process grants for.

The log holds a floor for the level. Before a grant takes the level
below it, a lower floor is committed, so a successor can always start
from the committed floor.
"""

import collections
import dataclasses

from bulrushrudder.core import outcomes
from bulrushrudder.limits import actions
from bulrushrudder.limits import token_bucket
from bulrushrudder.state import accounts

LEASE_S = 2.0
# Token requests for at most this share of the burst are granted before
# larger ones, so that calls of plain services don't queue behind requests to
# models.
SMALL_REQUEST_SHARE = 0.01
# Longer than the lease, so that the previous holder has stopped granting.
TAKEOVER_WAIT_S = 2.5
PROPOSAL_RETRY_S = 0.5
FLOOR_RAISE_INTERVAL_S = 5.0
# Lending ends this long after the last request for a slice.
LENDING_IDLE_S = 15.0
GRANT_RETENTION_S = 300.0
MAX_RETAINED_GRANTS = 5000
# Shares of the burst: what slices may hold together, the smallest raise
# of the floor that is worth a commit, and the smallest floor above 0.
MAX_LENT_SHARE = 0.25
MIN_FLOOR_RAISE_SHARE = 0.25
MIN_FLOOR_SHARE = 1 / 16
_INHERITED_KEY = 'inherited'


@dataclasses.dataclass(slots=True)
class _GrantRecord:
    """A grant that may be refunded in part.

    :param refundable: tokens that have not been refunded yet.
    :param refund_numbers: numbers of the refunds that were applied.
    """

    tokens: int
    slice_tokens: int
    refundable: int
    granted_s: float
    refund_numbers: set


class Ledger:
    """Level, waiting token requests and grants of one account.

    :param row: the AccountRow that names this process as holder.
    :param limits: the ClientAccount in force.
    :param now_s: monotonic seconds at which the row was first seen.
    :ivar grants_from_s: monotonic seconds from which this process may
        grant.
    :ivar waiting: token requests in the order in which they are granted.
    :ivar releasing: the ReleaseAccount command under way, if any.
    """

    def __init__(self, row, limits, now_s):
        self.row = row
        predecessor_stopped = (
            row.previous_released or row.previous_process_ended
        )
        self.grants_from_s = (
            now_s if predecessor_stopped else now_s + TAKEOVER_WAIT_S
        )
        self.waiting = collections.deque()
        self.releasing = None
        self._lease_end_s = now_s
        self._tokens = token_bucket.TokenBucket(
            limits.rate,
            limits.burst,
            max(0.0, min(row.floor, limits.burst - row.outstanding)),
            self.grants_from_s,
        )
        if row.outstanding:
            self._tokens.record_slice(
                _INHERITED_KEY, row.outstanding, self.grants_from_s
            )
        uncertain = 0.0 if row.previous_released else limits.burst - row.floor
        self._possibly_lost = max(0.0, uncertain)
        self._granted_by_request = {}
        self._pending = None
        self._proposed_s = now_s
        self._slice_requested_s = None

    @property
    def busy(self):
        """Return whether a request or a proposed command is outstanding."""
        return bool(self.waiting or self._pending or self.releasing)

    def level(self, now_s):
        """Return the tokens in the bucket."""
        return self._tokens.level(now_s)

    def spendable(self, now_s):
        """Return the tokens that can be granted without a commit."""
        return max(0.0, self._tokens.level(now_s) - self._min_level())

    def renew(self, ends_s, now_s):
        """Extend the lease under which this process may grant.

        Time that no lease covered is excluded from the refill.

        :param ends_s: monotonic seconds at which the lease ends.
        """
        if now_s > self._lease_end_s:
            self._tokens.skip_refill(self._lease_end_s, now_s)
        self._lease_end_s = max(self._lease_end_s, ends_s)

    def update(self, row, limits, now_s):
        """Adopt the row and the limits that the log now shows."""
        self.row = row
        if self._pending and row.floor_number >= self._pending.floor_number:
            self._pending = None
        bucket = self._tokens
        if (bucket.rate, bucket.burst) != (limits.rate, limits.burst):
            bucket.set_limits(limits.rate, limits.burst, now_s)

    def ask(self, event, now_s):
        """Queue a token request, or refuse it if its deadline cannot be met.

        A repeated token request that was granted gets the same grant.
        """
        granted = self._granted_by_request.get(event.token_request)
        if granted is not None:
            return [self._grant_action(event, granted)]
        if any(
            waiting.token_request == event.token_request
            for waiting in self.waiting
        ):
            return []
        if event.tokens > self._tokens.burst:
            return [_refuse_above_burst(event)]
        small = self._is_small(event)
        queued_tokens = sum(
            waiting.tokens
            for waiting in self.waiting
            if not small or self._is_small(waiting)
        )
        wait_s = self._tokens.wait_s(event.tokens, now_s)
        if queued_tokens:
            wait_s = max(
                wait_s,
                self._tokens.wait_s(queued_tokens + event.tokens, now_s),
            )
        if now_s + wait_s > event.deadline_s:
            return [self._refuse(event, wait_s, now_s)]
        self.waiting.append(event)
        return []

    def apply_refund(self, event, now_s):
        """Refund tokens of a grant; each refund number counts once.

        Unspent tokens of a slice are refunded only until the slice
        expires: after that they are refilled as if they had been spent.
        """
        granted = self._granted_by_request.get(event.token_request)
        if granted is None or event.number in granted.refund_numbers:
            return
        granted.refund_numbers.add(event.number)
        if event.closes and not self._tokens.close(event.token_request, now_s):
            return
        tokens = max(0, min(event.tokens, granted.refundable))
        granted.refundable -= tokens
        self._tokens.refund(tokens, now_s)

    def withdraw(self, token_request, now_s):
        """Remove a token request; refund its grant, which was not received."""
        remaining = (
            waiting
            for waiting in self.waiting
            if waiting.token_request != token_request
        )
        self.waiting = collections.deque(remaining)
        granted = self._granted_by_request.pop(token_request, None)
        if granted is None or granted.refund_numbers:
            return
        tokens = granted.tokens
        if self._tokens.close(token_request, now_s):
            tokens += granted.slice_tokens
        self._tokens.refund(tokens, now_s)

    def expire(self, now_s):
        """Refuse token requests whose deadline has passed."""
        expired = [w for w in self.waiting if w.deadline_s < now_s]
        if not expired:
            return []
        remaining = (w for w in self.waiting if w.deadline_s >= now_s)
        self.waiting = collections.deque(remaining)
        reason = outcomes.Reason.INSIDE_RATE
        return [
            actions.Refuse(
                w.token_request, reason, self._tokens.wait_s(w.tokens, now_s)
            )
            for w in expired
        ]

    def grant_waiting(self, now_s):
        """Grant waiting token requests in order, as far as the level allows.

        Small ones go first. A grant that would take the level below the
        floor waits until a lower floor is committed.
        """
        new_actions = []
        if self._tokens.level(now_s) >= self._tokens.burst:
            self._possibly_lost = 0.0
        while self.waiting and not self.releasing:
            self._move_small_first()
            head = self.waiting[0]
            if head.tokens > self._tokens.burst:
                new_actions.append(_refuse_above_burst(self.waiting.popleft()))
                continue
            level = self._tokens.level(now_s)
            if level < head.tokens:
                break
            if level - head.tokens < self._min_level():
                new_actions += self._propose_lower_floor(
                    level - head.tokens, now_s
                )
                break
            new_actions.append(self._grant(self.waiting.popleft(), now_s))
        return new_actions

    def _is_small(self, event):
        return event.tokens <= self._tokens.burst * SMALL_REQUEST_SHARE

    def _move_small_first(self):
        """Move the first small token request to the head of the queue."""
        if self._is_small(self.waiting[0]):
            return
        for event in self.waiting:
            if self._is_small(event):
                self.waiting.remove(event)
                self.waiting.appendleft(event)
                return

    def propose_due(self, now_s):
        """Retry a proposal that was not committed, or adjust the bounds."""
        if self.releasing or self._pending:
            if now_s - self._proposed_s < PROPOSAL_RETRY_S:
                return []
            self._proposed_s = now_s
            return [actions.Propose(self.releasing or self._pending)]
        self._expire_grants(now_s)
        return self._propose_adjustment(now_s)

    def release(self, now_s):
        """Stop granting and commit the level for a successor."""
        if self.releasing:
            return []
        self.releasing = accounts.ReleaseAccount(
            self.row.environment,
            self.row.account,
            self.row.epoch,
            self._tokens.level(now_s),
            self._tokens.outstanding,
        )
        self._proposed_s = now_s
        return [actions.Propose(self.releasing)]

    def _propose_adjustment(self, now_s):
        level = self._tokens.level(now_s)
        burst = self._tokens.burst
        lending = self._slice_requested_s is not None
        if lending and now_s - self._slice_requested_s > LENDING_IDLE_S:
            self._slice_requested_s = None
        if lending and self.row.outstanding < burst * MAX_LENT_SHARE:
            return self._propose(
                self._min_level(), burst * MAX_LENT_SHARE, now_s
            )
        if now_s - self._proposed_s < FLOOR_RAISE_INTERVAL_S:
            return []
        outstanding = (
            self.row.outstanding if lending else self._tokens.outstanding
        )
        raise_by = level / 2 - self.row.floor
        if raise_by > burst * MIN_FLOOR_RAISE_SHARE:
            return self._propose(level / 2, outstanding, now_s)
        if outstanding < self.row.outstanding:
            return self._propose(self.row.floor, outstanding, now_s)
        return []

    def _propose_lower_floor(self, level, now_s):
        floor = level / 2
        if floor < self._tokens.burst * MIN_FLOOR_SHARE:
            floor = 0.0
        return self._propose(floor, self.row.outstanding, now_s)

    def _propose(self, floor, outstanding, now_s):
        if self._pending:
            return []
        self._pending = accounts.SetFloor(
            self.row.environment,
            self.row.account,
            self.row.epoch,
            self.row.floor_number + 1,
            floor,
            outstanding,
        )
        self._proposed_s = now_s
        return [actions.Propose(self._pending)]

    def _min_level(self):
        """Return the level below which no grant may go now."""
        if self._pending:
            return max(self.row.floor, self._pending.floor)
        return self.row.floor

    def _grant(self, event, now_s):
        self._tokens.take(event.tokens)
        slice_tokens = self._slice_size(event, now_s)
        if slice_tokens:
            self._tokens.lend(event.token_request, slice_tokens, now_s)
        tokens = event.tokens + slice_tokens
        self._granted_by_request[event.token_request] = _GrantRecord(
            event.tokens, slice_tokens, tokens, now_s, set()
        )
        return self._grant_action(
            event, self._granted_by_request[event.token_request]
        )

    def _grant_action(self, event, granted):
        return actions.Grant(
            event.token_request,
            event.account,
            self.row.epoch,
            granted.tokens,
            granted.slice_tokens,
            self._tokens.rate,
            self._tokens.burst,
        )

    def _slice_size(self, event, now_s):
        if event.slice_tokens_wanted <= 0:
            return 0
        self._slice_requested_s = now_s
        if self.waiting:
            return 0
        outstanding = self.row.outstanding
        if self._pending:
            outstanding = min(outstanding, self._pending.outstanding)
        level = self._tokens.level(now_s)
        max_size = min(
            outstanding - self._tokens.outstanding,
            level - self._min_level(),
            level / 2,
        )
        size = int(min(event.slice_tokens_wanted, max_size))
        return size if size >= event.tokens else 0

    def _expire_grants(self, now_s):
        grants = self._granted_by_request
        while grants:
            token_request = next(iter(grants))
            recent = (
                now_s - grants[token_request].granted_s < GRANT_RETENTION_S
            )
            if recent and len(grants) <= MAX_RETAINED_GRANTS:
                return
            del grants[token_request]

    def _refuse(self, event, wait_s, now_s):
        recoverable_s = self._possibly_lost / self._tokens.rate
        reason = outcomes.Reason.OVER_RATE
        if (
            recoverable_s
            and now_s + wait_s - recoverable_s <= event.deadline_s
        ):
            reason = outcomes.Reason.INSIDE_RATE
        return actions.Refuse(event.token_request, reason, wait_s)


def _refuse_above_burst(event):
    reason = outcomes.Reason.COST_ABOVE_BURST
    return actions.Refuse(event.token_request, reason, 0.0)
