"""How long callers have waited before a request came here.

Callers that try again state the time that they have left. What it lacks
of the time that callers of the route usually have was spent on earlier
tries, at whichever process.
"""

import dataclasses

# A longest wait that nobody has stated for this time no longer counts:
# some requests on each route come within it.
LONGEST_WAIT_TTL_S = 10.0
# Callers' patience differs by some 15% among first tries on the platform.
FIRST_TRY_TOLERANCE = 0.2


@dataclasses.dataclass(slots=True)
class _LongestWait:
    wait_s: float
    last_stated_s: float


class UsualWaits:
    """The longest wait that callers of each route have stated of late."""

    def __init__(self):
        self._longest_by_route = {}

    def spent_s(self, route, wait_s, now_s):
        """Return the seconds that a caller has waited before.

        :param route: the id of its route.
        :param wait_s: seconds that it will wait from now.
        :param now_s: monotonic seconds.
        """
        known = self._longest_by_route.get(route)
        if (
            known is None
            or wait_s >= known.wait_s
            or now_s - known.last_stated_s > LONGEST_WAIT_TTL_S
        ):
            self._longest_by_route[route] = _LongestWait(wait_s, now_s)
            return 0.0
        if wait_s >= known.wait_s * (1.0 - FIRST_TRY_TOLERANCE):
            known.last_stated_s = now_s
            return 0.0
        return known.wait_s - wait_s
