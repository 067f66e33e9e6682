"""Applies what backend servers state about themselves in answers."""

import asyncio

from bulrushrudder.backpressure import statements
from bulrushrudder.backpressure import table
from bulrushrudder.entry import limit_reports
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.state import servers
from bulrushrudder.utils import tasks

SWEEP_INTERVAL_S = 5.0


class BackpressureMonitor:
    """Keeps the StatementTable of this process.

    :param view: the View of the log.
    :param statement_table: the StatementTable.
    :param coordinator_client: the CoordinatorClient.
    :param control_client: the ControlClient, which proposes commands.
    :ivar table: the StatementTable.
    """

    def __init__(
        self, view, statement_table, coordinator_client, control_client
    ):
        self._view = view
        self._coordinator_client = coordinator_client
        self._control_client = control_client
        self._limit_reports = limit_reports.LimitReports()
        self._tasks = set()
        self.table = statement_table

    def record(self, server, sent_s, stated):
        """Apply the statements of an answer that has just arrived.

        :param server: the BackendServer.
        :param sent_s: monotonic seconds at which the request was sent.
        :param stated: the Statements.
        """
        answer = statements.Answer(sent_s, _now_s(), stated)
        for change in self.table.record(server, answer):
            _log_change(server, change, answer)
            if isinstance(change, table.LeavingStated):
                self._spread_leaving(server)
        self._report_limit(server, answer)

    def takes_work(self, server):
        """Return whether a server may get new work of this VM now."""
        return self.table.takes_work(server, _now_s())

    def unavailable(self, candidates):
        """Return the ids of the servers that take no work of this VM.

        :param candidates: BackendServers by id.
        """
        return self.table.unavailable(candidates, _now_s())

    def retry_after_s(self, candidates):
        """Return the seconds until one of some servers takes work.

        :param candidates: BackendServers that take none now.
        :returns: the seconds, or None if all of them are leaving.
        """
        ends = [
            self.table.paused_until_s(server)
            for server in candidates
            if not self.table.is_leaving(server)
        ]
        return max(0.0, min(ends) - _now_s()) if ends else None

    def _spread_leaving(self, server):
        """Commit that a server is leaving, for all other VMs.

        A server that is absent now could join again.
        """
        table = self._view.state.servers
        if table.has_departed(server.id, server.incarnation):
            return
        command = servers.LeaveServer(server.id, server.incarnation)
        task = asyncio.create_task(self._control_client.propose(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(tasks.log_exception)

    def requests_per_s(self, server):
        """Return the limit of a server, None without one.

        The statements that this VM has received go before the log.
        """
        stated = self.table.requests_per_s(server)
        if stated is not None:
            return stated
        return self._view.state.servers.requests_per_s(server)

    def _report_limit(self, server, answer):
        stated = self.table.requests_per_s(server)
        recorded = self._view.state.servers.requests_per_s(server)
        host = None
        if stated is not None or recorded is not None:
            host = self._coordinator_client.host_of(server.serves[0])
        if self._limit_reports.is_due(server, stated, recorded, host, answer):
            self._coordinator_client.report_limit(server, stated)

    async def run(self):
        """Forget servers that are gone until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            present = self._view.state.servers.by_id
            self.table.forget_absent(present, _now_s())
            self._limit_reports.retain(present.keys())


def _log_change(server, change, answer):
    match change:
        case table.LimitChanged(requests_per_s=requests_per_s):
            log.emit(
                catalogue.SERVER_LIMIT_STATED,
                server=server.id,
                requests_per_s=requests_per_s,
            )
        case table.LeavingStated():
            log.emit(catalogue.SERVER_LEAVING_STATED, server=server.id)
        case table.PauseStated(until_s=until_s):
            log.emit(
                catalogue.SERVER_PAUSE_STATED,
                server=server.id,
                pause_s=round(until_s - answer.received_s, 3),
            )
        case table.InvalidStated(detail=detail):
            log.emit(
                catalogue.STATEMENT_INVALID, server=server.id, detail=detail
            )


def _now_s():
    return asyncio.get_running_loop().time()
