"""Moves the register's clock, never faster than time passes.

A step is compared with the clock that its proposer saw, and is no
longer than what the proposer measured since it saw that clock. So one
of several steps counts, and a stepped wall clock has no part in it.
"""

from bulrushrudder.state import intents

STEP_S = 10.0


class Clock:
    """Measures the time since the register's clock last moved."""

    def __init__(self):
        self._base_s = None
        self._seen_s = None

    def look(self, clock_s, now_s):
        """Take note of the register's clock.

        :param clock_s: the clock as the view of the log shows it.
        :param now_s: monotonic seconds.
        :returns: an AdvanceClock command where one is due, or None.
        """
        if clock_s != self._base_s:
            self._base_s = clock_s
            self._seen_s = now_s
        passed_s = now_s - self._seen_s
        if passed_s < STEP_S:
            return None
        return intents.AdvanceClock(clock_s, passed_s)
