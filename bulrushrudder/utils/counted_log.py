"""Logs events that may happen very often."""

import asyncio

from bulrushrudder.events import log

LOG_INTERVAL_S = 1.0


class CountedLog:
    """Logs an event at most once a second, with the number of times.

    :param event: the Event.
    :param fields: fields of each line.
    """

    def __init__(self, event, **fields):
        self._event = event
        self._fields = fields
        self._count = 0
        self._timer = None

    def count(self):
        """Count one time."""
        self._count += 1
        if self._timer is None:
            self._emit()

    def _emit(self):
        self._timer = None
        if self._count:
            log.emit(self._event, count=self._count, **self._fields)
            self._count = 0
            self._timer = asyncio.get_running_loop().call_later(
                LOG_INTERVAL_S, self._emit
            )
