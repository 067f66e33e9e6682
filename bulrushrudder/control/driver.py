"""Runs a replica on its store, with one disk sync per batch of events."""

import asyncio
import contextlib
import dataclasses
import time

from returns import result

from bulrushrudder.consensus import events
from bulrushrudder.consensus import messages
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.storage import errors

TICK_INTERVAL_S = 0.05


class Driver:
    """Passes events to a replica and executes the resulting actions.

    :param replica: the Replica.
    :param store: the Store of its data folder.
    :param collect: function that returns a Proposed event with all
        queued commands, or None.
    :param execute: called with each action, after the whole batch was
        synced.
    :param refuse: called with the token of a proposal for which the disk
        has no space.
    :param on_failed: called when the disk fails and the process must
        stop.
    """

    def __init__(self, replica, store, collect, execute, refuse, on_failed):
        self._replica = replica
        self._store = store
        self._collect = collect
        self._execute = execute
        self._refuse = refuse
        self._on_failed = on_failed
        self._inbox = []
        self._wake_event = asyncio.Event()
        self._last_tick_s = 0.0
        self._disk_full = False

    def put(self, event):
        """Queue an event for the next batch."""
        self._inbox.append(event)
        self._wake_event.set()

    def wake(self):
        """Start the next batch now, to collect queued proposals."""
        self._wake_event.set()

    async def run(self):
        """Run until cancelled, or until the disk fails."""
        while self._step():
            await asyncio.sleep(0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self._wake_event.wait()
            self._wake_event.clear()
        self._on_failed()

    def _step(self):
        """Handle all queued events as one batch.

        :returns: whether the batch was saved; if not, the disk has
            failed and the loop ends.
        """
        batch = []
        for event in self._take_events():
            batch += self._replica.handle(event, time.monotonic())
        match self._store.save(batch):
            case result.Failure(error):
                self._log_failure(error)
                return False
        for action in batch:
            self._execute(action)
        return True

    def _take_events(self):
        now_s = time.monotonic()
        pending = self._inbox
        self._inbox = []
        if now_s - self._last_tick_s >= TICK_INTERVAL_S:
            self._last_tick_s = now_s
            pending.append(events.Ticked())
        proposed = self._collect()
        if proposed is not None:
            pending.append(proposed)
        return [e for e in map(self._drop_if_full, pending) if e is not None]

    def _drop_if_full(self, event):
        """Return the event, without parts that do not fit on the disk.

        :returns: the event, or an Append without entries; None if
            nothing is left.
        """
        match event:
            case events.Proposed(token=token, commands=commands):
                if not self._reserve(sum(map(len, commands))):
                    self._refuse(token)
                    return None
            case events.Received(message=messages.AppendRequest() as message):
                if not self._reserve(_size(message.entries)):
                    heartbeat = dataclasses.replace(message, entries=())
                    return events.Received(heartbeat)
            case events.Received(message=messages.SnapshotChunk() as message):
                if not self._store.has_free_space(2 * message.total):
                    return None
            case events.SnapshotTaken(data=data):
                log_bytes = self._store.log_bytes
                if not self._store.has_free_space(2 * len(data) + log_bytes):
                    return None
        return event

    def _reserve(self, size):
        if size == 0:
            return True
        full = not self._store.try_reserve(size)
        if full and not self._disk_full:
            log.emit(catalogue.DISK_FULL)
        self._disk_full = full
        return not full

    def _log_failure(self, error):
        match error:
            case errors.DiskFull(problem=problem):
                log.emit(catalogue.DISK_FULL_STOP, detail=problem)
            case errors.SyncFailed(problem=problem):
                log.emit(catalogue.SYNC_FAILED, detail=problem)


def _size(entries):
    return sum(len(getattr(e.payload, 'data', b'')) for e in entries)
