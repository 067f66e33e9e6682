"""How much each client account asks of a cell, against its share."""

import collections
import dataclasses
import math

WINDOW_S = 20.0
FLOOD_FACTOR = 2.0
CHANCE_FACTOR = 2.0
EMPTY_CHANCE = 0.001
MOST_RESERVED_SHARE = 0.25
LEAST_SEEN_S = 2.0
FORGET_S = 5 * WINDOW_S


@dataclasses.dataclass(slots=True)
class _Account:
    """What an account asked for of late.

    :param tokens: asked for in the window, the older the less.
    :param at_s: monotonic seconds up to which tokens is right.
    :param flooding: whether it asked for far more than its share.
    """

    weight: float
    tokens: float
    at_s: float
    flooding: bool = False


class Demand:
    """Late demand of accounts for the servers of a cell.

    An account floods while it asks for more than FLOOD_FACTOR times as
    much as the others do, by weight.
    """

    def __init__(self):
        self._accounts_by_id = collections.OrderedDict()
        self._weights = 0.0
        self._tokens = _Decayed()
        self._asks_inside = _Decayed()

    def asked(self, account, weight, tokens, now_s):
        """Take note of a question for some tokens."""
        self._forget(now_s)
        found = self._accounts_by_id.pop(account, None)
        if found is None:
            found = _Account(weight, 0.0, now_s)
        else:
            self._weights -= found.weight
        self._accounts_by_id[account] = found
        self._weights += weight
        self._tokens.add(tokens, now_s)
        found.weight = weight
        found.tokens = found.tokens * _decay(now_s - found.at_s) + tokens
        found.at_s = now_s
        found.flooding = found.tokens > self._most(found, tokens, now_s)
        if not found.flooding:
            self._asks_inside.add(1.0, now_s)

    def is_flooding(self, account):
        """Return whether an account asks for far more than its share."""
        found = self._accounts_by_id.get(account)
        return found is not None and found.flooding

    def share(self, account, places):
        """Return the places that are an account's by its weight."""
        found = self._accounts_by_id.get(account)
        return places * found.weight / self._weights if found else 0.0

    def reserve(self, places, hold_s, now_s):
        """Return the places that accounts which flood must leave free.

        With so many, the others find one in all but EMPTY_CHANCE of the
        cases: places come free faster than the others take them.
        """
        offered = self._asks_inside.rate(now_s) * hold_s
        busy = offered / places if places else 0.0
        most = places * MOST_RESERVED_SHARE
        if busy <= 0.0:
            return 0.0
        if busy >= 1.0:
            return most
        return min(most, math.log(EMPTY_CHANCE) / math.log(busy))

    def _most(self, found, tokens, now_s):
        """Return the tokens above which an account floods.

        An account with few questions may exceed its part by chance.

        :param tokens: of a usual question.
        """
        other_tokens = self._tokens.value(now_s) - found.tokens
        other_weights = self._weights - found.weight
        if other_weights <= 0.0:
            return math.inf
        part = found.weight / other_weights
        usual = FLOOD_FACTOR * max(0.0, other_tokens) * part
        return usual + CHANCE_FACTOR * math.sqrt(usual * tokens) + tokens

    def _forget(self, now_s):
        while self._accounts_by_id:
            account = next(iter(self._accounts_by_id))
            found = self._accounts_by_id[account]
            if now_s - found.at_s < FORGET_S:
                return
            del self._accounts_by_id[account]
            self._weights -= found.weight


class _Decayed:
    """A sum in which the old counts less."""

    def __init__(self):
        self._sum = 0.0
        self._at_s = 0.0
        self._first_s = None

    def add(self, amount, now_s):
        self._sum = self.value(now_s) + amount
        self._at_s = now_s
        if self._first_s is None:
            self._first_s = now_s

    def value(self, now_s):
        return self._sum * _decay(now_s - self._at_s)

    def rate(self, now_s):
        """Return the sum a second, right also while the window fills."""
        if self._first_s is None:
            return 0.0
        seen_s = max(LEAST_SEEN_S, now_s - self._first_s)
        return self.value(now_s) / (WINDOW_S * (1.0 - _decay(seen_s)))


def _decay(elapsed_s):
    return math.exp(-max(0.0, elapsed_s) / WINDOW_S)
