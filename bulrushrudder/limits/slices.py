"""Slices of accounts' tokens that a requesting process holds.

A process that often requests tokens of an account gets a slice of them,
which it spends on later requests without asking the authority.
"""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.limits import token_bucket

# Token requests within a window from which a process asks for a slice.
SLICE_MIN_REQUESTS = 8
REQUEST_WINDOW_S = 1.0
# Size of a slice, as a multiple of the request's cost.
SLICE_REQUESTS = 16
SLICE_IDLE_S = 1.5
MAX_REFUND_COUNTS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Tokens that were granted for a request.

    :param epoch: the epoch in which they were granted.
    :param token_request: the token request whose grant they come from.
    :param sliced: whether they were taken from a slice.
    """

    account: ids.AccountId
    epoch: int
    token_request: ids.TokenRequestId
    tokens: int
    sliced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Refund:
    """Unused tokens to report to the account's authority."""

    account: ids.AccountId
    epoch: int
    token_request: ids.TokenRequestId
    number: int
    tokens: int
    closes: bool


@dataclasses.dataclass(slots=True)
class _Slice:
    """Unspent tokens and the limits under which they were granted."""

    account: ids.AccountId
    epoch: int
    token_request: ids.TokenRequestId
    remaining: int
    expires_s: float
    used_s: float
    limits: tuple


@dataclasses.dataclass(slots=True)
class _RequestWindow:
    """Number of token requests for an account in the current window."""

    since_s: float
    count: int


class Slices:
    """Holds slices and decides which accounts get one."""

    def __init__(self):
        self._slices_by_account = {}
        self._windows_by_account = {}
        self._refund_count_by_request = {}

    def take(self, account, tokens, now_s):
        """Take the tokens of a request from a slice.

        :param account: the ClientAccount in force.
        :returns: a Charge, or None if the authority has to be asked.
        """
        held = self._slices_by_account.get(account.id)
        if held is None or held.expires_s <= now_s or held.remaining < tokens:
            return None
        if held.limits != _limits(account):
            return None
        held.remaining -= tokens
        held.used_s = now_s
        return Charge(account.id, held.epoch, held.token_request, tokens, True)

    def left(self, account, now_s):
        """Return the unspent tokens in the slice of an account."""
        held = self._slices_by_account.get(account)
        if held is None or held.expires_s <= now_s:
            return 0
        return held.remaining

    def slice_tokens_wanted(self, account, tokens, now_s):
        """Count a token request; return the size of the slice to ask for."""
        window = self._windows_by_account.get(account)
        if window is None or now_s - window.since_s > REQUEST_WINDOW_S:
            window = _RequestWindow(now_s, 0)
            self._windows_by_account[account] = window
        window.count += 1
        return (
            tokens * SLICE_REQUESTS
            if window.count >= SLICE_MIN_REQUESTS
            else 0
        )

    def put(self, grant, requested_s):
        """Store a slice, whose lifetime starts when it was requested.

        :param grant: an object with the fields of a Grant action.
        :returns: the refunds of the slice that it replaces.
        """
        before = self._slices_by_account.pop(grant.account, None)
        self._slices_by_account[grant.account] = _Slice(
            grant.account,
            grant.epoch,
            grant.token_request,
            grant.slice_tokens,
            requested_s + token_bucket.SLICE_LIFETIME_S,
            requested_s,
            (grant.rate, grant.burst),
        )
        return [] if before is None else [self._closing_refund(before)]

    def refund(self, charge, tokens, now_s):
        """Refund unused tokens of a charge.

        :returns: the Refund to report to the authority, or None if the
            tokens went back to the slice.
        """
        held = self._slices_by_account.get(charge.account)
        same = held is not None and held.token_request == charge.token_request
        if charge.sliced and same and now_s < held.expires_s:
            held.remaining += tokens
            return None
        number = self._next_refund_number(charge.token_request)
        return Refund(
            charge.account,
            charge.epoch,
            charge.token_request,
            number,
            tokens,
            False,
        )

    def sweep(self, accounts_by_id, now_s):
        """Drop slices that are expired, idle or under former limits.

        :returns: the Refunds to report to the authorities.
        """
        refunds = []
        for account, held in tuple(self._slices_by_account.items()):
            in_force = accounts_by_id.get(account)
            same = in_force and held.limits == _limits(in_force)
            fresh = now_s < min(held.expires_s, held.used_s + SLICE_IDLE_S)
            if same and fresh:
                continue
            del self._slices_by_account[account]
            if now_s < held.expires_s:
                refunds.append(self._closing_refund(held))
        self._drop_counters(now_s)
        return refunds

    def _closing_refund(self, held):
        number = self._next_refund_number(held.token_request)
        return Refund(
            held.account,
            held.epoch,
            held.token_request,
            number,
            held.remaining,
            True,
        )

    def _next_refund_number(self, token_request):
        number = self._refund_count_by_request.get(token_request, 0) + 1
        self._refund_count_by_request[token_request] = number
        return number

    def _drop_counters(self, now_s):
        expired = [
            account
            for account, window in self._windows_by_account.items()
            if now_s - window.since_s > REQUEST_WINDOW_S
        ]
        for account in expired:
            del self._windows_by_account[account]
        while len(self._refund_count_by_request) > MAX_REFUND_COUNTS:
            del self._refund_count_by_request[
                next(iter(self._refund_count_by_request))
            ]


def _limits(account):
    return account.rate, account.burst
