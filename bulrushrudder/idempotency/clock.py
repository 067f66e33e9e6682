"""Advances the register's clock, never faster than real time.

Each step names the clock value that its proposer read and is no longer
than the monotonic time it measured since then. Of several concurrent
steps only one is accepted, and changes of the wall clock have no effect.
"""

from bulrushrudder.state import intents

MIN_STEP_S = 10.0


class RegisterClock:
    """Measures the time since the register's clock last advanced."""

    def __init__(self):
        self._last_clock_s = None
        self._last_change_s = None

    def observe(self, clock_s, now_s):
        """Handle a reading of the register's clock.

        :param clock_s: the clock in this process's view of the log.
        :param now_s: monotonic seconds.
        :returns: an AdvanceClock command if one is due, or None.
        """
        if clock_s != self._last_clock_s:
            self._last_clock_s = clock_s
            self._last_change_s = now_s
        elapsed_s = now_s - self._last_change_s
        if elapsed_s < MIN_STEP_S:
            return None
        return intents.AdvanceClock(clock_s, elapsed_s)
