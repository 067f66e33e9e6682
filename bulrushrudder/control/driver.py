"""Runs a replica on its store: one sync for all that came together."""

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

TICK_S = 0.05


class Driver:
    """Hands events to a replica and carries out what it asks for.

    :param replica: the Replica.
    :param store: the Store of its data folder.
    :param collect: returns a Proposed event with all that waits, or
        None.
    :param carry_out: takes each action after everything was synced.
    :param refuse: takes the token of proposals that have no room.
    :param on_failed: called when the process must stop.
    """

    def __init__(self, replica, store, collect, carry_out, refuse, on_failed):
        self._replica = replica
        self._store = store
        self._collect = collect
        self._carry_out = carry_out
        self._refuse = refuse
        self._on_failed = on_failed
        self._inbox = []
        self._woken = asyncio.Event()
        self._ticked_s = 0.0
        self._full = False

    def put(self, event):
        """Hand in an event."""
        self._inbox.append(event)
        self._woken.set()

    def wake(self):
        """Have proposals collected."""
        self._woken.set()

    async def run(self):
        """Run until cancelled, or until the disk fails."""
        while self._step():
            await asyncio.sleep(0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._woken.wait()
            self._woken.clear()
        self._on_failed()

    def _step(self):
        """Handle all events as one batch.

        :returns: whether to go on.
        """
        batch = []
        for event in self._take():
            batch += self._replica.handle(event, time.monotonic())
        match self._store.save(batch):
            case result.Failure(error):
                self._report(error)
                return False
        for action in batch:
            self._carry_out(action)
        return True

    def _take(self):
        now_s = time.monotonic()
        taken = self._inbox
        self._inbox = []
        if now_s - self._ticked_s >= TICK_S:
            self._ticked_s = now_s
            taken.append(events.Ticked())
        proposed = self._collect()
        if proposed is not None:
            taken.append(proposed)
        return [e for e in map(self._within_room, taken) if e is not None]

    def _within_room(self, event):
        """Return the event, without what has no room on the disk."""
        match event:
            case events.Proposed(token=token, commands=commands):
                if not self._has_room(sum(map(len, commands))):
                    self._refuse(token)
                    return None
            case events.Received(message=messages.AppendRequest() as message):
                if not self._has_room(_size(message.entries)):
                    bare = dataclasses.replace(message, entries=())
                    return events.Received(bare)
            case events.Received(message=messages.SnapshotChunk() as message):
                if not self._store.has_free_space(2 * message.total):
                    return None
            case events.SnapshotTaken(data=data):
                kept = self._store.log_bytes
                if not self._store.has_free_space(2 * len(data) + kept):
                    return None
        return event

    def _has_room(self, size):
        if size == 0:
            return True
        full = not self._store.try_reserve(size)
        if full and not self._full:
            log.emit(catalogue.DISK_FULL)
        self._full = full
        return not full

    def _report(self, error):
        match error:
            case errors.DiskFull(problem=problem):
                log.emit(catalogue.DISK_FULL_STOP, detail=problem)
            case errors.SyncFailed(problem=problem):
                log.emit(catalogue.SYNC_FAILED, detail=problem)


def _size(entries):
    return sum(len(getattr(e.payload, 'data', b'')) for e in entries)
