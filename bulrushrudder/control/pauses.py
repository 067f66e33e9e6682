"""Notices that a process did not run for a while."""

MIN_PAUSE_S = 1.0


class PauseWatch:
    """Compares the times at which a process runs.

    A process that was paused or suspended has heard nobody meanwhile, and
    messages to it may still wait in its sockets.
    """

    def __init__(self):
        self._ran_s = None

    def observe(self, now_s):
        """Record that the process runs.

        :param now_s: seconds of a clock that counts suspensions.
        :returns: whether it was paused until now.
        """
        ran_s, self._ran_s = self._ran_s, now_s
        return ran_s is not None and now_s - ran_s > MIN_PAUSE_S
