"""Runs a replica on its store, with one disk sync per batch of events."""

import asyncio
import contextlib
import dataclasses

from returns import result

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import events
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.storage import errors

TICK_INTERVAL_S = 0.05
SAVE_RETRY_INTERVAL_S = 0.25


class Driver:
    """Passes events to a replica and executes the resulting actions.

    A batch that finds the disk full at its sync is saved again until there
    is free space. Its actions and all further events wait or are declined
    meanwhile, as if the process were cut off; other members go on.

    :param replica: the Replica.
    :param store: the Store of its data folder.
    :param collect: function that returns a Proposed event with all
        queued commands, or None.
    :param execute: called with each action, after the whole batch was
        synced.
    :param refuse: called with the token and the WriteError of a proposal
        that the disk does not take.
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
        # Why the disk took no changes when it was last written to.
        self._write_error = None
        self._unsaved = None
        self._next_save_s = 0.0

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

        :returns: whether the process goes on; if not, the disk has
            failed and the loop ends.
        """
        now_s = _now_s()
        if self._unsaved is not None:
            self._decline(self._take_inbox())
            if now_s < self._next_save_s:
                return True
            batch, self._unsaved = self._unsaved, None
        else:
            batch = []
            for event in self._take_events():
                batch += self._replica.handle(event, now_s)
        match self._store.save(batch):
            case result.Failure(errors.DiskFull() as error):
                self._unsaved = batch
                self._next_save_s = now_s + SAVE_RETRY_INTERVAL_S
                self._report_write_error(error)
                return True
            case result.Failure(errors.SyncFailed(problem=problem)):
                log.emit(catalogue.SYNC_FAILED, detail=problem)
                return False
        for action in batch:
            self._execute(action)
        return True

    def _take_inbox(self, *extra):
        """Return all queued events, then others, then queued proposals."""
        pending, self._inbox = [*self._inbox, *extra], []
        proposed = self._collect()
        if proposed is not None:
            pending.append(proposed)
        return pending

    def _take_events(self):
        """Return the events of the next batch.

        Messages come before the tick: after a slow sync, a member must
        hear its peers before it judges that they are silent.
        """
        now_s = _now_s()
        ticks = []
        if now_s - self._last_tick_s >= TICK_INTERVAL_S:
            self._last_tick_s = now_s
            ticks.append(events.Ticked())
        pending = self._take_inbox(*ticks)
        return [e for e in map(self._drop_if_full, pending) if e is not None]

    def _decline(self, pending):
        """Decline events while the disk is full.

        Messages are dropped, as the network may lose them too.
        """
        for event in pending:
            match event:
                case events.Proposed(token=token):
                    self._refuse(token, self._write_error)
                case events.ReadIndexRequested(token=token):
                    self._execute(actions.NotLeader(token))

    def _drop_if_full(self, event):
        """Return the event, without parts that do not fit on the disk.

        :returns: the event, or an Append without entries; None if
            nothing is left.
        """
        match event:
            case events.Proposed(token=token, commands=commands):
                if not self._reserve(sum(map(len, commands))):
                    self._refuse(token, self._write_error)
                    return None
            case events.Received(message=messages.AppendRequest() as message):
                if not self._reserve(sum(map(types.size, message.entries))):
                    heartbeat = dataclasses.replace(message, entries=())
                    return events.Received(heartbeat)
            case events.Received(message=messages.SnapshotChunk() as message):
                if not self._store.has_free_space(2 * message.total):
                    return None
            case events.SnapshotTaken(index=index, data=data):
                log_bytes = self._replica.compacted_bytes(index)
                if not self._store.has_free_space(2 * len(data) + log_bytes):
                    return None
        return event

    def _reserve(self, size):
        """Allocate disk space and return whether there is enough."""
        if size == 0:
            return True
        match self._store.reserve(size):
            case result.Failure(error):
                self._report_write_error(error)
                return False
        if self._write_error is not None:
            log.emit(catalogue.DISK_WRITABLE)
        self._write_error = None
        return True

    def _report_write_error(self, error):
        """Log that the disk takes no changes, unless that is known."""
        known, self._write_error = self._write_error, error
        if type(known) is type(error):
            return
        match error:
            case errors.DiskFull():
                log.emit(catalogue.DISK_FULL)
            case errors.SyncFailed(problem=problem):
                log.emit(catalogue.ALLOCATION_FAILED, detail=problem)


def _now_s():
    return asyncio.get_running_loop().time()
