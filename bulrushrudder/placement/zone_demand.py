"""Rate of requests by availability zone."""

import math

# Time over which rates are averaged: long enough for some tens of requests
# at a few per second, short against the duration of a burst.
WINDOW_S = 4.0
# Rates are at least spread over this time, so that the first requests after
# a start do not count as a high rate.
MIN_OBSERVED_S = 2.0
# Rates below this are forgotten.
MIN_RATE = 0.01


class ZoneRates:
    """Exponentially decaying rates by zone."""

    def __init__(self):
        self._sum_by_zone = {}
        self._updated_s = 0.0
        self._first_s = None

    def record(self, zone, now_s, count=1.0):
        """Record some requests of a zone."""
        self._decay(now_s)
        self._sum_by_zone[zone] = self._sum_by_zone.get(zone, 0.0) + count

    def rates(self, now_s):
        """Return the requests per second by zone."""
        if self._first_s is None:
            return {}
        self._decay(now_s)
        seen_s = max(MIN_OBSERVED_S, now_s - self._first_s)
        weight_s = WINDOW_S * (1.0 - math.exp(-seen_s / WINDOW_S))
        return {z: total / weight_s for z, total in self._sum_by_zone.items()}

    def _decay(self, now_s):
        if self._first_s is None:
            self._first_s = self._updated_s = now_s
        factor = math.exp(-max(0.0, now_s - self._updated_s) / WINDOW_S)
        self._updated_s = max(self._updated_s, now_s)
        self._sum_by_zone = {
            zone: total * factor
            for zone, total in self._sum_by_zone.items()
            if total * factor > MIN_RATE
        }
