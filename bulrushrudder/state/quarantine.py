"""Requests that crash backend servers, in the replicated state.

A fingerprint that ran on a server when it crashed is a suspect. A crash
is its own where it was the only suspect on the server.
"""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results

MAX_OWN_CRASHES = 2
MAX_SUSPECTS = 4096
MAX_QUARANTINED = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """A backend server crashed while it ran a request.

    :param isolated: whether the request was the server's only suspect.
    """

    fingerprint: str
    server: ids.ServerId
    incarnation: int
    isolated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClearSuspect:
    """A suspect request finished without a crash."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The end of one run of a backend server."""

    server: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A fingerprint with the crashes that are its own."""

    fingerprint: str
    isolated_crashes: tuple[Crash, ...] = ()

    @property
    def quarantined(self):
        """Return whether the request may not run again."""
        return len(self.isolated_crashes) >= MAX_OWN_CRASHES


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSnapshot:
    """All suspects, oldest first."""

    suspects: tuple[Suspect, ...]


class Quarantine:
    """Suspects and quarantined requests.

    Both are bounded; the oldest go first, and suspects before those in
    quarantine.

    :ivar by_fingerprint: suspects, oldest first.
    """

    def __init__(self):
        self.by_fingerprint: dict[str, Suspect] = {}

    def snapshot(self):
        """Return the table as a QuarantineSnapshot."""
        return QuarantineSnapshot(tuple(self.by_fingerprint.values()))

    def restore(self, snapshot):
        """Put a QuarantineSnapshot in the place of the table."""
        self.by_fingerprint = {s.fingerprint: s for s in snapshot.suspects}

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        match command:
            case ReportCrash():
                return self._report(index, command)
            case ClearSuspect(fingerprint=fingerprint):
                return self._clear(index, fingerprint)
        raise AssertionError(f'unknown command {command!r}')

    def _report(self, index, command):
        fingerprint = command.fingerprint
        known = self.by_fingerprint.get(fingerprint, Suspect(fingerprint))
        crash = Crash(command.server, command.incarnation)
        if command.isolated and crash not in known.isolated_crashes:
            crashes = (*known.isolated_crashes, crash)[:MAX_OWN_CRASHES]
            known = Suspect(fingerprint, crashes)
        self.by_fingerprint[fingerprint] = known
        self._evict_surplus()
        return results.Accepted(index)

    def _clear(self, index, fingerprint):
        known = self.by_fingerprint.get(fingerprint)
        if known is None or known.quarantined:
            return results.Rejected('the request is no suspect')
        del self.by_fingerprint[fingerprint]
        return results.Accepted(index)

    def _evict_surplus(self):
        all_suspects = self.by_fingerprint.values()
        quarantined = [s.fingerprint for s in all_suspects if s.quarantined]
        suspects = [s.fingerprint for s in all_suspects if not s.quarantined]
        surplus = [
            *suspects[: max(0, len(suspects) - MAX_SUSPECTS)],
            *quarantined[: max(0, len(quarantined) - MAX_QUARANTINED)],
        ]
        for fingerprint in surplus:
            del self.by_fingerprint[fingerprint]
