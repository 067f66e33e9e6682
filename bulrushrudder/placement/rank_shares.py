"""Ranks of placement requests, and the least share of each."""

import dataclasses
import math

# A rank that is served less often than this part of all requests goes
# first. A kind that is served less than a quarter as often as all counts
# as starved; a fifth more than that covers the grants under way.
MIN_SERVED_PART = 0.3
# Requests and grants are weighed over this time: about the longest that
# callers wait, so that a rank is not starved for longer than one wait.
SHARE_WINDOW_S = 10.0
# A rank that has not been requested for this time is forgotten.
FORGET_AFTER_S = 60.0


class RankShares:
    """Tokens requested and granted by rank.

    Ranks are served in strict order, except for one that has been served
    much less often than all requests.
    """

    def __init__(self):
        self._usage_by_rank = {}
        self._stated_s_by_rank = {}
        self._requested = DecayedSum()
        self._granted = DecayedSum()

    @property
    def several(self):
        """Return whether requests of several ranks have come lately."""
        return len(self._usage_by_rank) > 1

    def resolve(self, rank, now_s):
        """Return the rank of a request, which states one or None.

        Builds that send no rank serve all kinds of requests, so theirs
        count as the middle of the ranks that others state.
        """
        self._forget_unused(now_s)
        if rank is not None:
            self._stated_s_by_rank[rank] = now_s
            return rank
        stated = sorted(self._stated_s_by_rank)
        return stated[len(stated) // 2] if stated else 0

    def record_request(self, rank, tokens, now_s):
        """Record a placement request for some tokens."""
        usage = self._usage_by_rank.setdefault(rank, _RankUsage())
        usage.requested.add(tokens, now_s)
        usage.request_tokens = tokens
        self._requested.add(tokens, now_s)

    def record_grant(self, rank, tokens, now_s):
        """Record a grant of some tokens."""
        usage = self._usage_by_rank.setdefault(rank, _RankUsage())
        usage.granted.add(tokens, now_s)
        self._granted.add(tokens, now_s)

    def least_share(self, rank, now_s):
        """Return the share of all grants that a rank gets at least."""
        usage = self._usage_by_rank.get(rank)
        total = self._requested.value(now_s)
        if usage is None or total <= 0.0:
            return 0.0
        return MIN_SERVED_PART * usage.requested.value(now_s) / total

    def below_least(self, rank, now_s):
        """Return whether a rank has had less than its least share.

        A lack of less than one request does not count.
        """
        usage = self._usage_by_rank.get(rank)
        if usage is None or not self.several:
            return False
        least = self.least_share(rank, now_s) * self._granted.value(now_s)
        return usage.granted.value(now_s) + usage.request_tokens <= least

    def _forget_unused(self, now_s):
        for rank, stated_s in tuple(self._stated_s_by_rank.items()):
            if now_s - stated_s > FORGET_AFTER_S:
                del self._stated_s_by_rank[rank]
        for rank, usage in tuple(self._usage_by_rank.items()):
            if now_s - usage.requested.updated_s > FORGET_AFTER_S:
                del self._usage_by_rank[rank]


class DecayedSum:
    """A sum that decays exponentially with time.

    :ivar updated_s: monotonic seconds of the last addition.
    """

    def __init__(self):
        self._sum = 0.0
        self.updated_s = 0.0

    def add(self, amount, now_s):
        """Add an amount at a time."""
        self._sum = self.value(now_s) + amount
        self.updated_s = now_s

    def value(self, now_s):
        """Return the sum at a time."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        return self._sum * math.exp(-elapsed_s / SHARE_WINDOW_S)


@dataclasses.dataclass(slots=True)
class _RankUsage:
    """Tokens that a rank requested and was granted.

    :param request_tokens: of its last request.
    """

    requested: DecayedSum = dataclasses.field(default_factory=DecayedSum)
    granted: DecayedSum = dataclasses.field(default_factory=DecayedSum)
    request_tokens: int = 0
