"""Collects the body of an answer without moving what has been read."""

PART_BYTES = 16 * 1024


class BodyParts:
    """The body of an answer that is being read.

    A single growing buffer would be moved again and again, and leave gaps
    in the memory of the process that fit no other one.

    :ivar size: bytes so far.
    """

    def __init__(self):
        self.size = 0
        self._parts = []

    def add(self, data):
        """Add bytes; small pieces are joined, as each has an overhead."""
        self.size += len(data)
        if self._parts and len(self._parts[-1]) < PART_BYTES:
            self._parts[-1] += data
        else:
            self._parts.append(bytearray(data))

    def join(self):
        """Return the body as bytes, and forget the parts."""
        body = b''.join(self._parts)
        self._parts = []
        return body
