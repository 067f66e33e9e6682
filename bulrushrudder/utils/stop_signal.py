"""Delivers requests to stop a process or to reload its settings."""

import asyncio


class StopSignal(asyncio.Event):
    """An event that is set by the first request to stop."""

    def __init__(self):
        super().__init__()
        self._repeat_callbacks = []
        self._reload_callbacks = []

    def request(self):
        """Request a stop; from the second call on, run the callbacks."""
        if not self.is_set():
            self.set()
            return
        for callback in self._repeat_callbacks:
            callback()

    def on_repeat(self, callback):
        """Register a callback for stop requests after the first."""
        self._repeat_callbacks.append(callback)

    def reload(self):
        """Request a reload of the settings."""
        for callback in self._reload_callbacks:
            callback()

    def on_reload(self, callback):
        """Register a callback for requests to reload the settings."""
        self._reload_callbacks.append(callback)
