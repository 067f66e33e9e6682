"""Splits a stream of events without changing its bytes."""

import re

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_EVENT_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Collects bytes into whole events.

    :ivar rest: bytes of an event that is not whole yet.
    """

    def __init__(self):
        self.rest = b''

    def feed(self, data):
        """Return the events that became whole, each with its end."""
        data = self.rest + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(data):
            events.append(data[start : match.end()])
            start = match.end()
        self.rest = data[start:]
        return events


def event_id(event):
    """Return an event's id as text, empty where it has none."""
    match = _EVENT_ID.search(event)
    return match.group(1).decode('latin-1').strip() if match else ''
