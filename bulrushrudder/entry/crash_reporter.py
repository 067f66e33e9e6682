"""Commits which prompt parts were there when backend servers crashed."""

import asyncio

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.state import results
from bulrushrudder.state import suspect_parts

RETRY_DELAY_S = 0.1
# Longer than the control processes take to elect a leader after a fault.
RETENTION_S = 30.0


class CrashReporter:
    """Reports crashes and clears parts that turn out to be sound.

    :param view: the View of the log.
    :param control_client: the ControlClient.
    :ivar stopping: whether the process stops, so that reports which cannot
        be committed are dropped.
    """

    def __init__(self, view, control_client):
        self._view = view
        self._control_client = control_client
        self._clearing = set()
        self.stopping = False

    async def report(self, command):
        """Commit a crash and wait until the view includes it.

        :param command: the ReportEarlyCrash.
        """
        log.emit(
            catalogue.SUSPECT_REPORTED,
            fingerprint=command.request,
            server=command.server,
            parts=','.join(command.parts),
        )
        try:
            async with asyncio.timeout(RETENTION_S):
                await self._commit(command)
        except TimeoutError:
            log.emit(
                catalogue.CRASH_REPORT_DROPPED,
                fingerprint=command.request,
                server=command.server,
            )

    async def _commit(self, command):
        while not self.stopping:
            outcome = await self._control_client.propose(command)
            if isinstance(outcome, results.Accepted):
                await self._control_client.wait_for_index(outcome.index)
                self._log_quarantined(command)
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def clear(self, parts):
        """Clear those of some parts that are suspect.

        :param parts: parts of a request that has produced output.
        """
        suspects = self._view.state.suspect_parts.known(parts)
        unsent = tuple(p for p in suspects if p not in self._clearing)
        if not unsent:
            return
        self._clearing.update(unsent)
        try:
            await self._control_client.propose(
                suspect_parts.ClearParts(unsent)
            )
        finally:
            self._clearing.difference_update(unsent)

    def _log_quarantined(self, command):
        by_part = self._view.state.suspect_parts.by_part
        for part in command.parts:
            if part in by_part and by_part[part].is_quarantined():
                log.emit(
                    catalogue.PART_QUARANTINED,
                    part=part,
                    crashes=len(by_part[part].crashes),
                    view=self._view.index,
                )
