"""Applies what backend servers state about themselves in answers."""

import asyncio

from bulrushrudder.backpressure import statements
from bulrushrudder.backpressure import table
from bulrushrudder.events import catalogue
from bulrushrudder.events import log

SWEEP_INTERVAL_S = 5.0


class BackpressureMonitor:
    """Keeps the StatementTable of this process.

    :param view: the View of the log.
    :ivar table: the StatementTable.
    """

    def __init__(self, view):
        self._view = view
        self.table = table.StatementTable()

    def record(self, server, sent_s, stated):
        """Apply the statements of an answer that has just arrived.

        :param server: the BackendServer.
        :param sent_s: monotonic seconds at which the request was sent.
        :param stated: the Statements.
        """
        answer = statements.Answer(sent_s, _now_s(), stated)
        for change in self.table.record(server, answer):
            _log_change(server, change, answer)

    async def run(self):
        """Forget servers that are gone until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.table.forget_absent(self._view.state.servers.by_id, _now_s())


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
