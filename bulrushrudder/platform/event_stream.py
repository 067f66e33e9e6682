"""Splits a stream of server-sent events without changing its bytes."""

import re

# An event of the platform's runners has some hundred bytes.
MAX_EVENT_BYTES = 256 * 1024
_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_EVENT_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventTooLongError(ValueError):
    """An event exceeds the length limit."""


class EventSplitter:
    """Groups the bytes of a stream by event.

    :ivar rest: bytes of the last event, which is incomplete.
    """

    def __init__(self):
        self.rest = b''

    def feed(self, data):
        """Return the events completed by data, each with its terminator.

        :raises EventTooLongError: if the incomplete event exceeds the limit.
        """
        data = self.rest + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(data):
            events.append(data[start : match.end()])
            start = match.end()
        self.rest = data[start:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f'event exceeds the limit of {MAX_EVENT_BYTES} bytes'
            )
        return events


def event_id(event):
    """Return the id of an event as text; empty if it has none."""
    match = _EVENT_ID.search(event)
    return match.group(1).decode('latin-1').strip() if match else ''
