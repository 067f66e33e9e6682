"""Bounds the bytes of answers that a process keeps while it reads them."""

MAX_KEPT_BYTES = 32 * 1024 * 1024


class KeptBytes:
    """Sizes of the answers that are being read.

    When they exceed the limit together, the largest one is given up: an
    answer without end soon is the largest, and the others stay whole.

    :param max_bytes: limit on all sizes together.
    """

    def __init__(self, max_bytes=MAX_KEPT_BYTES):
        self._max_bytes = max_bytes
        self._total = 0
        self._kept_by_reader = {}

    def update(self, reader, size, give_up):
        """Record the size of an answer so far.

        :param reader: identifies the answer.
        :param size: bytes of it that are kept.
        :param give_up: function that ends the reading of it.
        """
        self._forget(reader)
        self._kept_by_reader[reader] = size, give_up
        self._total += size
        while self._total > self._max_bytes:
            largest = max(
                self._kept_by_reader,
                key=lambda reader: self._kept_by_reader[reader][0],
            )
            self._forget(largest)()

    def release(self, reader):
        """Record that an answer is not kept any more."""
        self._forget(reader)

    def _forget(self, reader):
        """Remove an answer; return the function that gives it up."""
        size, give_up = self._kept_by_reader.pop(reader, (0, None))
        self._total -= size
        return give_up
