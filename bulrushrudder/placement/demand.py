"""Token demand of client accounts on a model, against their shares."""

import collections
import dataclasses
import math

DECAY_WINDOW_S = 20.0
FLOOD_FACTOR = 2.0
# Margin for chance above the flood threshold, in standard deviations.
CHANCE_DEVIATIONS = 2.0
MAX_NO_PLACE_PROBABILITY = 0.001
MAX_RESERVED_SHARE = 0.25
MIN_OBSERVED_S = 2.0
FORGET_AFTER_S = 5 * DECAY_WINDOW_S


@dataclasses.dataclass(slots=True)
class _AccountUsage:
    """Recent demand of an account.

    :param tokens: decaying sum of the tokens requested.
    :param updated_s: monotonic seconds of the last update of tokens.
    :param flooding: whether it asked for far more than its share.
    """

    weight: float
    tokens: float
    updated_s: float
    flooding: bool = False


class AccountDemand:
    """Recent demand of accounts for the servers of a model.

    An account floods while its demand by weight is more than
    FLOOD_FACTOR times that of the other accounts.
    """

    def __init__(self):
        self._accounts_by_id = collections.OrderedDict()
        self._total_weight = 0.0
        self._tokens = _DecayedSum()
        self._requests_within_share = _DecayedSum()

    def record(self, account, weight, tokens, now_s):
        """Record a placement request for some tokens."""
        self._forget_inactive(now_s)
        usage = self._accounts_by_id.pop(account, None)
        if usage is None:
            usage = _AccountUsage(weight, 0.0, now_s)
        else:
            self._total_weight -= usage.weight
        self._accounts_by_id[account] = usage
        self._total_weight += weight
        self._tokens.add(tokens, now_s)
        usage.weight = weight
        usage.tokens = usage.tokens * _decay(now_s - usage.updated_s) + tokens
        usage.updated_s = now_s
        usage.flooding = usage.tokens > self._flood_threshold(
            usage, tokens, now_s
        )
        if not usage.flooding:
            self._requests_within_share.add(1.0, now_s)

    def is_flooding(self, account):
        """Return whether an account asks for far more than its share."""
        usage = self._accounts_by_id.get(account)
        return usage is not None and usage.flooding

    def share(self, account, places):
        """Return the share of the places that an account's weight gives it."""
        usage = self._accounts_by_id.get(account)
        return places * usage.weight / self._total_weight if usage else 0.0

    def reserve(self, places, hold_s, now_s):
        """Return the places that flooding accounts must leave free.

        With this reserve, the probability that another account finds no
        free place is at most MAX_NO_PLACE_PROBABILITY, because places
        are freed faster than the other accounts take them.
        """
        offered_load = self._requests_within_share.rate(now_s) * hold_s
        busy = offered_load / places if places else 0.0
        max_reserved = places * MAX_RESERVED_SHARE
        if busy <= 0.0:
            return 0.0
        if busy >= 1.0:
            return max_reserved
        return min(
            max_reserved,
            math.log(MAX_NO_PLACE_PROBABILITY) / math.log(busy),
        )

    def _flood_threshold(self, usage, tokens, now_s):
        """Return the tokens above which an account floods.

        The threshold has a margin because an account with few requests
        may exceed its share by chance.

        :param tokens: of a typical request.
        """
        other_tokens = self._tokens.value(now_s) - usage.tokens
        other_weights = self._total_weight - usage.weight
        if other_weights <= 0.0:
            return math.inf
        part = usage.weight / other_weights
        expected = FLOOD_FACTOR * max(0.0, other_tokens) * part
        return (
            expected
            + CHANCE_DEVIATIONS * math.sqrt(expected * tokens)
            + tokens
        )

    def _forget_inactive(self, now_s):
        while self._accounts_by_id:
            account = next(iter(self._accounts_by_id))
            usage = self._accounts_by_id[account]
            if now_s - usage.updated_s < FORGET_AFTER_S:
                return
            del self._accounts_by_id[account]
            self._total_weight -= usage.weight


class _DecayedSum:
    """A sum that decays exponentially with time."""

    def __init__(self):
        self._sum = 0.0
        self._updated_s = 0.0
        self._first_s = None

    def add(self, amount, now_s):
        self._sum = self.value(now_s) + amount
        self._updated_s = now_s
        if self._first_s is None:
            self._first_s = now_s

    def value(self, now_s):
        return self._sum * _decay(now_s - self._updated_s)

    def rate(self, now_s):
        """Return the sum per second, corrected while the window fills."""
        if self._first_s is None:
            return 0.0
        seen_s = max(MIN_OBSERVED_S, now_s - self._first_s)
        return self.value(now_s) / (DECAY_WINDOW_S * (1.0 - _decay(seen_s)))


def _decay(elapsed_s):
    return math.exp(-max(0.0, elapsed_s) / DECAY_WINDOW_S)
