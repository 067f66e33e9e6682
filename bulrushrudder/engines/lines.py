"""Splits a byte stream into lines of limited length."""

MAX_LINE_BYTES = 256 * 1024


class LineTooLongError(ValueError):
    """A line exceeds the length limit."""


class LineSplitter:
    """Splits received data into complete lines.

    :param max_bytes: limit on the length of a line.
    """

    def __init__(self, max_bytes=MAX_LINE_BYTES):
        self._max_bytes = max_bytes
        self._incomplete = b''

    def feed(self, data):
        """Add received bytes and return the lines that are complete now.

        :raises LineTooLongError: if an incomplete line exceeds the limit.
        """
        lines = (self._incomplete + data).split(b'\n')
        self._incomplete = lines.pop()
        if len(self._incomplete) > self._max_bytes:
            raise LineTooLongError(
                f'line exceeds the limit of {self._max_bytes} bytes'
            )
        return lines
