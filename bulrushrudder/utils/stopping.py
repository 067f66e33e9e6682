"""Tells a process to stop, and counts how often it was told."""

import asyncio


class Stopping(asyncio.Event):
    """An event that is set by the first of several requests to stop."""

    def __init__(self):
        super().__init__()
        self._repeat_callbacks = []
        self._reload_callbacks = []

    def request(self):
        """Take a request to stop; each later one is reported."""
        if not self.is_set():
            self.set()
            return
        for report in self._repeat_callbacks:
            report()

    def on_repeat(self, report):
        """Have a function called for each request after the first."""
        self._repeat_callbacks.append(report)

    def reload(self):
        """Take a request to read the settings again."""
        for callback in self._reload_callbacks:
            callback()

    def on_reload(self, callback):
        """Have a function called for each request to read settings."""
        self._reload_callbacks.append(callback)
