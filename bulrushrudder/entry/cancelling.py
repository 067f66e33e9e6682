"""Sends cancellations until engines confirm them, also for orphans."""

import asyncio

from returns import result

from bulrushrudder.core import ids
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import cancellations
from bulrushrudder.lifecycle import orphans
from bulrushrudder.utils import tasks

TICK_S = 0.1


class Cancelling:
    """Carries out what the trackers of cancellations decide.

    :param vm: this VM.
    :param view: the View of the log.
    :param engines: an EngineClient.
    :param metrics: the Metrics.
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
        """Retry and look for orphans as time passes, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._find_orphans()
            self._handle(cancellations.Ticked())

    def cancel(self, server, attempt):
        """Free what an attempt may hold on a server."""
        self._handle(cancellations.CancelRequested(server, attempt))

    async def finish(self, bound_s):
        """Wait until all is confirmed.

        :param bound_s: seconds to wait at most; what is left then is
            found by the peers once this VM's session closes.
        """
        deadline_s = asyncio.get_running_loop().time() + bound_s
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
            {vm: held.owner for vm, held in sessions_by_vm.items()},
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
            task.add_done_callback(tasks.report)

    def _is_back(self, target):
        """Return whether a gone owner is heard of again.

        Its attempts are no orphans then.
        """
        held = self._view.state.sessions.by_vm.get(target.vm)
        return held is not None and held.owner == target

    async def _send(self, order):
        server = order.server
        back = {
            target
            for target in order.targets
            if isinstance(target, ids.Owner) and self._is_back(target)
        }
        targets = [target for target in order.targets if target not in back]
        match await self._engines.cancel(server, targets):
            case result.Success(held):
                event = cancellations.CancelConfirmed(server.id, held | back)
            case _:
                self._metrics.count_cancel_retry()
                event = cancellations.CancelFailed(server.id)
        self._handle(event)
