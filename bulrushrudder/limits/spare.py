"""Grants of a process while an account's authority does not answer.

The platform limits by how many tokens an account may exceed its grant
in a window. Each process gets an equal share of this limit per account,
so that all processes together stay below it.
"""

import collections

from bulrushrudder.limits import token_bucket

# The rest is headroom for processes that the others don't know yet.
ALLOCATED_SHARE = 0.7


class SpareTokens:
    """One process's share of the tokens granted without an authority.

    :param tokens: limit per account and window across the fleet.
    :param window_s: length of the sliding window in seconds.
    """

    def __init__(self, tokens, window_s):
        self._tokens = tokens * ALLOCATED_SHARE
        self._window_s = window_s
        self._grants_by_account = collections.defaultdict(collections.deque)

    def take(self, account, tokens, processes, now_s):
        """Grant tokens if this process's share of the limit allows it.

        :param processes: number of processes that share the limit.
        :returns: whether the tokens are granted.
        """
        grants = self._grants_by_account[account]
        while grants and now_s - grants[0][0] > self._window_s:
            grants.popleft()
        spent = sum(count for _, count in grants)
        if spent + tokens > self._tokens / max(1, processes):
            return False
        grants.append((now_s, tokens))
        return True


NO_SPARE_TOKENS = SpareTokens(0.0, token_bucket.SLICE_LIFETIME_S)


def of_bounds(bounds):
    """Return the SpareTokens that the bounds of the settings allow.

    :param bounds: the bounds, or None.
    """
    if bounds is None:
        return NO_SPARE_TOKENS
    return SpareTokens(bounds.spare_tokens, bounds.spare_window_s)
