"""Writes log lines without ever waiting for whoever reads them.

Lines above a rate, and lines for which a slow reader leaves no room, are
left out and counted; the count is a line of its own.
"""

import os
import time

# A busy entry logs some lines for each of about a hundred calls a second.
MAX_LINES_PER_S = 600
# What a reader may lag behind; the kernel keeps about as much in a pipe.
MAX_PENDING_BYTES = 256 * 1024


class LineWriter:
    """A bounded, non-blocking writer of lines.

    :param descriptor: of the file that lines go to.
    :param left_out: function of a count that returns the line that says
        how many lines were left out.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, descriptor, format_dropped, clock=time.monotonic):
        self._descriptor = descriptor
        self._format_dropped = format_dropped
        self._clock = clock
        self._pending = b''
        self._dropped = 0
        self._second = None
        self._lines_in_second = 0
        os.set_blocking(descriptor, False)

    def write(self, line, urgent=False):
        """Write a line, or leave it out.

        :param urgent: whether the line is written above the rate too.
        """
        self._count_line()
        if self._lines_in_second > MAX_LINES_PER_S and not urgent:
            self._dropped += 1
            return
        if not self._enqueue(line):
            self._dropped += 1

    def flush(self):
        """Write what a slow reader has left room for by now."""
        while self._pending:
            try:
                size = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nobody to tell either.
                self._pending = b''
                return
            self._pending = self._pending[size:]

    def _count_line(self):
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
            if self._dropped:
                line = self._format_dropped(self._dropped)
                if self._enqueue(line):
                    self._dropped = 0
        self._lines_in_second += 1

    def _enqueue(self, line):
        """Return whether there was room for a line."""
        data = line.encode('utf-8', 'replace') + b'\n'
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.flush()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            return False
        self._pending += data
        self.flush()
        return True
