"""Reports the placement requests of this VM's coordinators by rank."""

import asyncio

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.placement import rank_counts

REPORT_INTERVAL_S = 1.0
# Overload lasts for seconds; one line for each such time is enough.
LOG_INTERVAL_S = 10.0


class RankReporter:
    """Counts queued, granted and refused requests, and logs refusals.

    :param coordinator_client: the CoordinatorClient.
    :param metrics: the EntryMetrics.
    """

    def __init__(self, coordinator_client, metrics):
        self._coordinator_client = coordinator_client
        self._metrics = metrics
        self._queued_ranks = set()
        self._unlogged = rank_counts.RankCounts()
        self._next_log_s = 0.0

    async def run(self):
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report(asyncio.get_running_loop().time())

    def report(self, now_s):
        """Update the metrics, and log refusals if a line is due.

        :param now_s: monotonic seconds.
        """
        counts = self._coordinator_client.take_rank_counts()
        for rank in self._queued_ranks - counts.queued.keys():
            self._metrics.set_waiting(rank, 0)
        self._queued_ranks = set(counts.queued)
        for rank, number in counts.queued.items():
            self._metrics.set_waiting(rank, number)
        for rank, number in counts.granted.items():
            self._metrics.count_placements(rank, 'granted', number)
        for rank, number in counts.refused.items():
            self._metrics.count_placements(rank, 'refused', number)
        self._unlogged.add(counts)
        if now_s >= self._next_log_s:
            self._next_log_s = now_s + LOG_INTERVAL_S
            self._log_refusals(counts.queued)

    def _log_refusals(self, queued):
        granted, refused = self._unlogged.granted, self._unlogged.refused
        self._unlogged = rank_counts.RankCounts()
        if not refused or len({*granted, *refused, *queued}) < 2:
            return
        log.emit(
            catalogue.PLACES_REFUSED,
            queued=_by_rank(queued),
            granted=_by_rank(granted),
            refused=_by_rank(refused),
        )


def _by_rank(counter):
    return {str(rank): counter[rank] for rank in sorted(counter)}
