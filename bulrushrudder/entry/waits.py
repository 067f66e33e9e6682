"""Estimates how long a caller has waited before its request arrived.

A caller that retries states the time it has left. The difference to the
longest time stated lately on the same route was spent on earlier attempts,
possibly at other entry processes.
"""

import dataclasses

# The longest wait of a route expires if no caller states it for this time;
# every route gets some requests within it.
LONGEST_WAIT_TTL_S = 10.0
# A wait shorter than the longest by less than this share counts as a first
# attempt: on the platform, waits of first attempts differ by some 15%.
FIRST_ATTEMPT_TOLERANCE = 0.2


@dataclasses.dataclass(slots=True)
class _LongestWait:
    wait_s: float
    last_stated_s: float


class WaitEstimator:
    """Tracks the longest wait that callers of each route stated lately."""

    def __init__(self):
        self._longest_by_route = {}

    def earlier_wait_s(self, route, wait_s, now_s):
        """Return the seconds that a caller spent on earlier attempts.

        :param route: id of its route.
        :param wait_s: seconds that the caller will wait from now.
        :param now_s: monotonic seconds.
        :returns: 0 for a first attempt.
        """
        known = self._longest_by_route.get(route)
        if (
            known is None
            or wait_s >= known.wait_s
            or now_s - known.last_stated_s > LONGEST_WAIT_TTL_S
        ):
            self._longest_by_route[route] = _LongestWait(wait_s, now_s)
            return 0.0
        if wait_s >= known.wait_s * (1.0 - FIRST_ATTEMPT_TOLERANCE):
            known.last_stated_s = now_s
            return 0.0
        return known.wait_s - wait_s
