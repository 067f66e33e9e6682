"""Virtual time."""

import heapq
import itertools


class Clock:
    """Runs callbacks in order of virtual time.

    :ivar now_s: virtual seconds since the start.
    """

    def __init__(self):
        self.now_s = 0.0
        self._callbacks = []
        self._entry_numbers = itertools.count()

    def after(self, delay_s, callback, *args):
        """Schedule a callback after a delay in virtual seconds."""
        entry = (
            self.now_s + delay_s,
            next(self._entry_numbers),
            callback,
            args,
        )
        heapq.heappush(self._callbacks, entry)

    def run(self, until_s):
        """Run the callbacks that are due up to a virtual time."""
        while self._callbacks and self._callbacks[0][0] <= until_s:
            self.now_s, _, callback, args = heapq.heappop(self._callbacks)
            callback(*args)
        self.now_s = until_s
