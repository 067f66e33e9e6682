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
        self._incomplete = bytearray()

    def feed(self, data):
        """Add received bytes and return the lines that are complete now.

        :raises LineTooLongError: if an incomplete line exceeds the limit.
        """
        *ended, rest = data.split(b'\n')
        lines = []
        for part in ended:
            self._incomplete += part
            lines.append(bytes(self._incomplete))
            self._incomplete.clear()
        self._incomplete += rest
        if len(self._incomplete) > self._max_bytes:
            raise LineTooLongError(
                f'line exceeds the limit of {self._max_bytes} bytes'
            )
        return lines
