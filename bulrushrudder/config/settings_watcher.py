"""Reload the settings file when it has changed."""

import asyncio
import contextlib

from returns import result

from bulrushrudder.config import settings_file
from bulrushrudder.events import catalogue
from bulrushrudder.events import log

# Bounds the delay until a change without a SIGHUP is noticed.
POLL_INTERVAL_S = 1.0


class SettingsWatcher:
    """Watches a settings file and reports new settings.

    :param settings: the Settings in force.
    :param on_changed: called with the new Settings after each reload.
    """

    def __init__(self, settings, on_changed):
        self._file = settings.file
        self._controls = settings.controls
        self._on_changed = on_changed
        self._wakeup = asyncio.Event()
        self._reload_requested = False
        self._fingerprint = self._read_fingerprint()

    def reload_now(self):
        """Read the file now, even if it has not changed."""
        self._reload_requested = True
        self._wakeup.set()

    async def run(self):
        """Watch the file until cancelled."""
        if self._file is None:
            return
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wakeup.wait()
            self._wakeup.clear()
            self._check()

    def _check(self):
        fingerprint = self._read_fingerprint()
        if fingerprint == self._fingerprint and not self._reload_requested:
            return
        self._fingerprint = fingerprint
        self._reload_requested = False
        match settings_file.load(self._file):
            case result.Success(settings):
                log.emit(
                    catalogue.SETTINGS_RELOADED,
                    controls=[str(address) for address in settings.controls],
                    changed=settings.controls != self._controls,
                )
                self._controls = settings.controls
                self._on_changed(settings)
            case result.Failure(problems):
                log.emit(catalogue.SETTINGS_REFUSED, detail=str(problems[0]))

    def _read_fingerprint(self):
        if self._file is None:
            return None
        try:
            stat = self._file.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino
