"""Splits a stream of server-sent events without changing its bytes."""

import re

# An event of the platform's runners has some hundred bytes.
MAX_EVENT_BYTES = 256 * 1024
# An end may have begun in the last bytes that were searched.
_EVENT_END_OVERLAP = len(b'\r\n\r')
_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_EVENT_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventTooLongError(ValueError):
    """An event exceeds the length limit."""


class EventSplitter:
    """Groups the bytes of a stream by event.

    Each byte is searched once, however small the pieces are in which the
    stream arrives.
    """

    def __init__(self):
        self._data = bytearray()
        self._searched = 0

    @property
    def rest(self):
        """Return the bytes of the last event, which is incomplete."""
        return bytes(self._data)

    def feed(self, data):
        """Return the events completed by data, each with its terminator.

        :raises EventTooLongError: if the incomplete event exceeds the limit.
        """
        self._data += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._data, self._searched):
            events.append(bytes(self._data[start : match.end()]))
            start = match.end()
        del self._data[:start]
        self._searched = max(0, len(self._data) - _EVENT_END_OVERLAP)
        if len(self._data) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f'event exceeds the limit of {MAX_EVENT_BYTES} bytes'
            )
        return events


def event_id(event):
    """Return the id of an event as text; empty if it has none."""
    match = _EVENT_ID.search(event)
    return match.group(1).decode('latin-1').strip() if match else ''
