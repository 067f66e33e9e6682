"""Sends cancellations to engines and retries until they confirm.

Attempts of entry processes that are gone (orphans) are cancelled too.
"""

import asyncio

from returns import result

from bulrushrudder.core import ids
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import cancellations
from bulrushrudder.lifecycle import orphans
from bulrushrudder.utils import tasks

TICK_S = 0.1


class Canceller:
    """Sends the cancel orders that the trackers decide on.

    :param vm: id of this VM.
    :param view: the View of the log.
    :param engines: an EngineClient.
    :param metrics: the EntryMetrics.
    """

    def __init__(self, vm, view, engines, metrics):
        self._vm = vm
        self._view = view
        self._engines = engines
        self._metrics = metrics
        self._tracker = cancellations.Cancellations()
        self._orphans = orphans.Orphans(vm)
        self._tasks = set()

    async def run(self):
        """Retry cancellations and look for orphans until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._find_orphans()
            self._handle(cancellations.Ticked())

    def cancel(self, server, attempt):
        """Have a server free what an attempt may hold there."""
        self._handle(cancellations.CancelRequested(server, attempt))

    async def finish(self, timeout_s):
        """Wait until all cancellations are confirmed.

        :param timeout_s: seconds to wait at most. Peers cancel the
            remaining attempts as orphans once this VM's session closes.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while self._tracker.pending:
            if asyncio.get_running_loop().time() >= deadline_s:
                return
            await asyncio.sleep(TICK_S)

    def _find_orphans(self):
        sessions_by_vm = self._view.state.sessions.by_vm
        if self._vm not in sessions_by_vm:
            return
        seen = orphans.SessionsSeen(
            self._view.index,
            {vm: session.owner for vm, session in sessions_by_vm.items()},
        )
        now_s = asyncio.get_running_loop().time()
        servers_by_id = self._view.state.servers.by_id
        for wanted in self._orphans.handle(seen, servers_by_id, now_s):
            self._metrics.count_orphan_order()
            log.emit(
                catalogue.ORPHANS_CANCELLED,
                owner=f'{wanted.target.vm}.{wanted.target.incarnation}',
                server=wanted.server.id,
            )
            self._handle(wanted)

    def _handle(self, event):
        now_s = asyncio.get_running_loop().time()
        servers_by_id = self._view.state.servers.by_id
        for order in self._tracker.handle(event, servers_by_id, now_s):
            task = asyncio.create_task(self._send(order))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            task.add_done_callback(tasks.log_exception)

    def _reaches_live_process(self, target):
        """Return whether an order for an owner would reach live attempts.

        An order covers all incarnations of a VM up to that of the owner.
        The owner may have a session again; a process that started after
        the time of day was set back has a lower incarnation.
        """
        session = self._view.state.sessions.by_vm.get(target.vm)
        return (
            session is not None
            and session.owner.incarnation <= target.incarnation
        )

    async def _send(self, order):
        server = order.server
        active = {
            target
            for target in order.targets
            if isinstance(target, ids.Owner)
            and self._reaches_live_process(target)
        }
        targets = [target for target in order.targets if target not in active]
        match await self._engines.cancel(server, targets):
            case result.Success(held):
                event = cancellations.CancelConfirmed(server.id, held | active)
            case _:
                self._metrics.count_cancel_retry()
                event = cancellations.CancelFailed(server.id)
        self._handle(event)
