"""Splits a stream of events without changing its bytes."""

import re

_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class Splitter:
    """Collects bytes into whole events.

    :ivar rest: bytes of an event that is not whole yet.
    """

    def __init__(self):
        self.rest = b''

    def feed(self, data):
        """Return the events that became whole, each with its end."""
        data = self.rest + data
        found = []
        start = 0
        for match in _END.finditer(data):
            found.append(data[start : match.end()])
            start = match.end()
        self.rest = data[start:]
        return found


def id_of(event):
    """Return an event's id as text, empty where it has none."""
    found = _ID.search(event)
    return found.group(1).decode('latin-1').strip() if found else ''
