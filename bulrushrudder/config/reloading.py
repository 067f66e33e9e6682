"""Reads the settings file again when it may have changed."""

import asyncio
import contextlib

from returns import result

from bulrushrudder.config import settings_file
from bulrushrudder.events import catalogue
from bulrushrudder.events import log

# How soon a change that no signal announces is noticed.
CHECK_S = 1.0


class Reloading:
    """Watches a settings file.

    :param found: the Settings in force.
    :param on_changed: function that takes the new Settings.
    """

    def __init__(self, found, on_changed):
        self._file = found.file
        self._controls = found.controls
        self._on_changed = on_changed
        self._woken = asyncio.Event()
        self._asked = False
        self._stamp = self._stamp_of_file()

    def wake(self):
        """Have the file read now."""
        self._asked = True
        self._woken.set()

    async def run(self):
        """Watch the file until cancelled."""
        if self._file is None:
            return
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_S):
                    await self._woken.wait()
            self._woken.clear()
            self._check()

    def _check(self):
        stamp = self._stamp_of_file()
        if stamp == self._stamp and not self._asked:
            return
        self._stamp = stamp
        self._asked = False
        match settings_file.load(self._file):
            case result.Success(found):
                log.emit(
                    catalogue.SETTINGS_RELOADED,
                    controls=[str(address) for address in found.controls],
                    changed=found.controls != self._controls,
                )
                self._controls = found.controls
                self._on_changed(found)
            case result.Failure(problems):
                log.emit(catalogue.SETTINGS_REFUSED, detail=str(problems[0]))

    def _stamp_of_file(self):
        if self._file is None:
            return None
        try:
            found = self._file.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino
