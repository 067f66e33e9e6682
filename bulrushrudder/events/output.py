"""Writes log lines without blocking on a slow reader.

Lines above a rate, and lines that don't fit into the buffer, are dropped.
A line with the number of dropped lines follows in the next second.
"""

import collections
import os
import time

# Allows several lines for each of about 100 calls a second.
MAX_LINES_PER_S = 600
# Limit on urgent lines of one kind, which clients may cause at will.
MAX_URGENT_LINES_PER_S = 20
# Limit on buffered lines; a pipe's kernel buffer takes about as much more.
MAX_PENDING_BYTES = 256 * 1024


class LineWriter:
    """A non-blocking writer of lines with a limited rate and buffer.

    :param descriptor: file descriptor to write to.
    :param format_dropped: function that returns the line to write for a
        number of dropped lines.
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
        self._urgent_by_kind = collections.Counter()
        os.set_blocking(descriptor, False)

    def write(self, line, urgent=False, kind=None):
        """Write a line, or drop and count it.

        :param urgent: whether only lines of the same kind count towards
            the rate limit.
        :param kind: what the line is about.
        """
        self._count_line()
        if not self._is_within_rate(urgent, kind) or not self._enqueue(line):
            self._dropped += 1

    def flush(self):
        """Write as much of the buffer as the descriptor accepts."""
        while self._pending:
            try:
                size = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so errors can't be logged.
                self._pending = b''
                return
            self._pending = self._pending[size:]

    def _is_within_rate(self, urgent, kind):
        if not urgent:
            return self._lines_in_second <= MAX_LINES_PER_S
        self._urgent_by_kind[kind] += 1
        return self._urgent_by_kind[kind] <= MAX_URGENT_LINES_PER_S

    def _count_line(self):
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
            self._urgent_by_kind.clear()
            if self._dropped:
                line = self._format_dropped(self._dropped)
                if self._enqueue(line):
                    self._dropped = 0
        self._lines_in_second += 1

    def _enqueue(self, line):
        """Buffer and flush a line; return whether it fitted."""
        data = line.encode('utf-8', 'replace') + b'\n'
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.flush()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            return False
        self._pending += data
        self.flush()
        return True
