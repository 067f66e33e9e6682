"""Slices of accounts' tokens that an asking process holds."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.limits import tokens as account_tokens

HOT_ASKS = 8
HOT_WINDOW_S = 1.0
WISH_ASKS = 16
IDLE_S = 1.5
MAX_NUMBERED_ASKS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Tokens that a request was granted.

    :param ask: the question whose grant they come from.
    :param sliced: whether they were taken from a slice.
    """

    account: ids.AccountId
    epoch: int
    ask: ids.AskId
    tokens: int
    sliced: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GivenBack:
    """Tokens to return to the account's authority."""

    account: ids.AccountId
    epoch: int
    ask: ids.AskId
    number: int
    tokens: int
    closes: bool


@dataclasses.dataclass(slots=True)
class _Slice:
    """Tokens at hand, and the limits under which they were granted."""

    account: ids.AccountId
    epoch: int
    ask: ids.AskId
    left: int
    until_s: float
    used_s: float
    limits: tuple


@dataclasses.dataclass(slots=True)
class _Asks:
    """Questions for an account in the current window."""

    since_s: float
    count: int


class Slices:
    """Slices, and which accounts are asked for often enough for one."""

    def __init__(self):
        self._slices_by_account = {}
        self._asks_by_account = {}
        self._returns_by_ask = {}

    def take(self, account, tokens, now_s):
        """Take the tokens of a request from a slice.

        :param account: the ClientAccount in force.
        :returns: a Charge, or None where the authority is to be asked.
        """
        found = self._slices_by_account.get(account.id)
        if found is None or found.until_s <= now_s or found.left < tokens:
            return None
        if found.limits != _limits(account):
            return None
        found.left -= tokens
        found.used_s = now_s
        return Charge(account.id, found.epoch, found.ask, tokens, True)

    def left(self, account, now_s):
        """Return the tokens at hand in the slice of an account."""
        found = self._slices_by_account.get(account)
        if found is None or found.until_s <= now_s:
            return 0
        return found.left

    def wish(self, account, tokens, now_s):
        """Return the tokens to wish for beside those of a request."""
        asks = self._asks_by_account.get(account)
        if asks is None or now_s - asks.since_s > HOT_WINDOW_S:
            asks = _Asks(now_s, 0)
            self._asks_by_account[account] = asks
        asks.count += 1
        return tokens * WISH_ASKS if asks.count >= HOT_ASKS else 0

    def put(self, grant, asked_s):
        """Keep a slice; its life counts from when it was asked for.

        :param grant: an object with the fields of a Grant action.
        :returns: what is to be returned of the slice before it.
        """
        before = self._slices_by_account.pop(grant.account, None)
        self._slices_by_account[grant.account] = _Slice(
            grant.account,
            grant.epoch,
            grant.ask,
            grant.slice_tokens,
            asked_s + account_tokens.SLICE_LIFE_S,
            asked_s,
            (grant.rate, grant.burst),
        )
        return [] if before is None else [self._close(before)]

    def give_back(self, charge, tokens, now_s):
        """Take the unused part of a charge.

        :returns: what the authority is to be told, or None.
        """
        found = self._slices_by_account.get(charge.account)
        same = found is not None and found.ask == charge.ask
        if charge.sliced and same and now_s < found.until_s:
            found.left += tokens
            return None
        number = self._next_return(charge.ask)
        return GivenBack(
            charge.account, charge.epoch, charge.ask, number, tokens, False
        )

    def sweep(self, accounts_by_id, now_s):
        """Drop slices that are old, idle or of other limits.

        :returns: what the authorities are to be told.
        """
        found = []
        for account, held in tuple(self._slices_by_account.items()):
            in_force = accounts_by_id.get(account)
            same = in_force and held.limits == _limits(in_force)
            fresh = now_s < min(held.until_s, held.used_s + IDLE_S)
            if same and fresh:
                continue
            del self._slices_by_account[account]
            if now_s < held.until_s:
                found.append(self._close(held))
        self._forget(now_s)
        return found

    def _close(self, held):
        number = self._next_return(held.ask)
        return GivenBack(
            held.account, held.epoch, held.ask, number, held.left, True
        )

    def _next_return(self, ask):
        number = self._returns_by_ask.get(ask, 0) + 1
        self._returns_by_ask[ask] = number
        return number

    def _forget(self, now_s):
        cold = [
            account
            for account, asks in self._asks_by_account.items()
            if now_s - asks.since_s > HOT_WINDOW_S
        ]
        for account in cold:
            del self._asks_by_account[account]
        while len(self._returns_by_ask) > MAX_NUMBERED_ASKS:
            del self._returns_by_ask[next(iter(self._returns_by_ask))]


def _limits(account):
    return account.rate, account.burst
