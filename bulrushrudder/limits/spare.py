"""What a process may grant while an account's authority is silent.

The platform bounds by how much an account may pass its grant in a
window. Each process has its part of that for each account, so that the
parts of all add up to less than the bound.
"""

import collections

from bulrushrudder.limits import tokens as account_tokens

# Left out for processes that the others do not know yet.
ALLOCATED_SHARE = 0.7


class Spare:
    """One process's part of what all may grant beside the authorities.

    :param tokens: the bound for an account in a window, over the fleet.
    :param window_s: seconds of such a window.
    """

    def __init__(self, tokens, window_s):
        self._tokens = tokens * ALLOCATED_SHARE
        self._window_s = window_s
        self._grants_by_account = collections.defaultdict(collections.deque)

    def take(self, account, tokens, processes, now_s):
        """Grant some tokens, if this process's part holds them.

        :param processes: how many processes share the bound.
        :returns: whether they are granted.
        """
        grants = self._grants_by_account[account]
        while grants and now_s - grants[0][0] > self._window_s:
            grants.popleft()
        spent = sum(count for _, count in grants)
        if spent + tokens > self._tokens / max(1, processes):
            return False
        grants.append((now_s, tokens))
        return True


NOTHING = Spare(0.0, account_tokens.SLICE_LIFETIME_S)
