"""Notices that the client of a connection has taken nothing for some time."""

from bulrushrudder.utils import timeouts


class UnreadTimer:
    """Calls a function once nothing has been taken for some time.

    :param limit_s: seconds in which something must be taken.
    :param look: function that returns the seconds of the latest progress
        and the bytes that wait for the client; 0 if none do.
    :param expire: the function.
    """

    def __init__(self, limit_s, look, expire):
        self._limit_s = limit_s
        self._look = look
        self._expire = expire
        self._seen = (0.0, 0)
        self._timer = None

    def start(self):
        """Begin to watch, unless it does already."""
        if self._timer is None:
            self._seen = self._look()
            self._timer = timeouts.RunningTimer(self._limit_s, self._check)

    def stop(self):
        """Cease to watch."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self):
        self._timer = None
        progressed_s, waiting = self._look()
        if not waiting:
            return
        if progressed_s <= self._seen[0] and waiting >= self._seen[1]:
            self._expire()
        else:
            self.start()
