"""Splits a byte stream into lines of bounded length."""

MAX_LINE_BYTES = 256 * 1024


class LineTooLongError(ValueError):
    """A line exceeds the bound."""


class LineSplitter:
    """Cuts what arrives into whole lines.

    :param max_bytes: the bound on a line.
    """

    def __init__(self, max_bytes=MAX_LINE_BYTES):
        self._max_bytes = max_bytes
        self._incomplete = b''

    def feed(self, data):
        """Take bytes and return the lines that they complete.

        :raises LineTooLongError: where a line exceeds the bound.
        """
        lines = (self._incomplete + data).split(b'\n')
        self._incomplete = lines.pop()
        if len(self._incomplete) > self._max_bytes:
            raise LineTooLongError(f'a line exceeds {self._max_bytes} bytes')
        return lines
