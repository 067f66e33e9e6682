"""Tells a process to stop, and counts how often it was told."""

import asyncio


class Stopping(asyncio.Event):
    """An event that is set by the first of several requests to stop."""

    def __init__(self):
        super().__init__()
        self._on_repeat = []

    def request(self):
        """Take a request to stop; each later one is reported."""
        if not self.is_set():
            self.set()
            return
        for report in self._on_repeat:
            report()

    def on_repeat(self, report):
        """Have a function called for each request after the first."""
        self._on_repeat.append(report)
