"""Decides which limits of backend servers this VM reports."""

import dataclasses

from bulrushrudder.core import ids

# A report is repeated after this time while the log lacks the limit.
REPEAT_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """What was reported about a server, and to which coordinator."""

    incarnation: int
    requests_per_s: float | None
    host: ids.Owner | None


class LimitReports:
    """Compares the limits in answers with those in the log.

    Only differences are reported, so that a limit costs a few messages
    and not one of each VM.
    """

    def __init__(self):
        self._last_by_id = {}
        self._recorded_since_s_by_id = {}

    def is_due(self, server, stated, recorded, host, answer):
        """Return whether to report a limit, which counts as reported then.

        :param server: the BackendServer that answered.
        :param stated: its limit by its answers, None without one.
        :param recorded: its limit in the log, None without one.
        :param host: the Owner of the coordinator, None if unknown.
        :param answer: the Answer.
        """
        since_s = self._recorded_since_s(server.id, recorded, answer)
        last_report, reported_s = self._last_by_id.get(server.id, (None, 0.0))
        if stated == recorded:
            return self._is_withdrawn(server, stated, last_report)
        if stated is None and answer.sent_s <= since_s:
            # The answer may be older than the limit that others reported.
            return False
        report = _Report(server.incarnation, stated, host)
        now_s = answer.received_s
        if report == last_report and now_s - reported_s < REPEAT_INTERVAL_S:
            return False
        self._last_by_id[server.id] = report, now_s
        return True

    def retain(self, server_ids):
        """Forget all other servers."""
        for server_id in self._last_by_id.keys() - server_ids:
            del self._last_by_id[server_id]
        for server_id in self._recorded_since_s_by_id.keys() - server_ids:
            del self._recorded_since_s_by_id[server_id]

    def _recorded_since_s(self, server_id, recorded, answer):
        """Return since when the log is known to have a limit."""
        if recorded is None:
            self._recorded_since_s_by_id.pop(server_id, None)
            return 0.0
        return self._recorded_since_s_by_id.setdefault(
            server_id, answer.received_s
        )

    def _is_withdrawn(self, server, stated, last_report):
        """Return whether a limit ended before the log recorded it."""
        if stated is not None or last_report is None:
            return False
        del self._last_by_id[server.id]
        return (
            last_report.incarnation == server.incarnation
            and last_report.requests_per_s is not None
        )
