"""What the crashes of backend servers say about one request."""

import asyncio
import contextlib

from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.state import quarantine
from bulrushrudder.state import results
from bulrushrudder.state import suspect_parts

REPORT_TIMEOUT_S = 1.0


class CrashEvidence:
    """Reports crashes under a request, and tells if it is quarantined.

    :param job: the lifecycle Job.
    :param services: the SharedServices of this process.
    """

    def __init__(self, job, services):
        self._job = job
        self._services = services
        self._view_when_sent = 0
        self._has_crashed_server = False

    def record_sent(self):
        """Record that an attempt is sent to a server now."""
        self._view_when_sent = self._services.view.index

    def is_quarantined(self):
        """Return whether a part of the prompt is quarantined now."""
        if self._job.parts is None:
            return False
        min_crashes = suspect_parts.MIN_CRASHES
        if self._has_crashed_server:
            min_crashes = suspect_parts.MIN_CRASHES_BEFORE_REPEAT
        return self._services.view.state.suspect_parts.refuses(
            self._job.fingerprint, self._job.parts, min_crashes
        )

    async def report_early_crash(self, server):
        """Report a crash; wait for its effect if the request is repeated.

        :param server: the BackendServer that crashed.
        """
        self._has_crashed_server = True
        job = self._job
        reporting = self._services.spawn(
            self._services.crash_reporter.report(
                suspect_parts.ReportEarlyCrash(
                    job.fingerprint,
                    job.parts,
                    server.id,
                    server.incarnation,
                    self._view_when_sent,
                )
            )
        )
        if job.repeatable:
            await asyncio.wait({reporting}, timeout=REPORT_TIMEOUT_S)

    def clear_parts(self):
        """Clear the parts of the prompt, if any is suspect."""
        services = self._services
        if services.view.state.suspect_parts.known(self._job.parts):
            services.spawn(services.crash_reporter.clear(self._job.parts))

    async def report_isolated(self, action, server):
        """Report a crash with whether no other suspect ran there.

        :param action: the ReportCrash.
        :param server: the BackendServer that crashed.
        :returns: whether the request is quarantined.
        """
        command = quarantine.ReportCrash(
            action.fingerprint,
            action.server,
            server.incarnation,
            action.isolated,
        )
        log.emit(
            catalogue.SUSPECT_REPORTED,
            fingerprint=action.fingerprint,
            server=action.server,
            isolated=action.isolated,
        )
        control_client = self._services.control_client
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                outcome = await control_client.propose(command)
                if isinstance(outcome, results.Accepted):
                    await control_client.wait_for_index(outcome.index)
        suspects = self._services.view.state.quarantine
        suspect = suspects.by_fingerprint.get(action.fingerprint)
        return suspect is not None and suspect.quarantined
