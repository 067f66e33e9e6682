"""When callers that were refused for lack of servers should come back."""

import collections

# The pace of grants is measured over this time.
PACE_WINDOW_S = 2.0
# Pace that is assumed at least, in grants per second.
MIN_PACE = 1.0
# Share of the grants that is promised to callers that come back; the rest
# is left to new ones.
RETURN_SHARE = 0.5
MIN_DELAY_S = 0.5
# Callers come back within a third of the time that they have left.
MAX_DELAY_S = 4.0


class ReturnTimes:
    """Gives each refused caller a time of its own to come back.

    Answers bursts of 1.6 to 2.3 times the usual load for 3 to 10 s. They
    refuse some dozens of requests within a second or two, and with one
    delay for all of them these return together, into the same burst. The
    times follow the order of refusal, at a share of the pace at which
    places are granted, and begin when the present backlog is served.
    """

    def __init__(self):
        self._granted_s = collections.deque()
        self._last_return_s = 0.0

    def record_grant(self, now_s):
        """Record that a request got its servers."""
        self._granted_s.append(now_s)
        self._drop_old(now_s)

    def recent_grants(self, now_s):
        """Return the number of grants within PACE_WINDOW_S."""
        self._drop_old(now_s)
        return len(self._granted_s)

    def pace(self, now_s):
        """Return the pace at which places are granted, per second."""
        return max(MIN_PACE, self.recent_grants(now_s) / PACE_WINDOW_S)

    def next_delay_s(self, backlog, now_s):
        """Return the seconds after which a refused caller should retry.

        :param backlog: number of requests that are still queued.
        :param now_s: monotonic seconds.
        """
        pace = self.pace(now_s)
        return_s = max(
            now_s + MIN_DELAY_S,
            now_s + backlog / pace,
            self._last_return_s + 1.0 / (pace * RETURN_SHARE),
        )
        return_s = min(return_s, now_s + MAX_DELAY_S)
        self._last_return_s = return_s
        return return_s - now_s

    def _drop_old(self, now_s):
        while self._granted_s and self._granted_s[0] < now_s - PACE_WINDOW_S:
            self._granted_s.popleft()
