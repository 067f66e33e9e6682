"""Requests that crash backend servers, in the replicated state.

A request that ran on a server when the server crashed is a suspect. If
it was the only suspect there, the crash is isolated and counts towards
its quarantine. Requests are identified by fingerprint.
"""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results

MAX_ISOLATED_CRASHES = 2
MAX_SUSPECTS = 4096
MAX_QUARANTINED = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """Report that a backend server crashed while it ran a request.

    :param isolated: whether the request was the only suspect there.
    """

    fingerprint: str
    server: ids.ServerId
    incarnation: int
    isolated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Clear a suspect, as its request finished without a crash."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of one incarnation of a backend server."""

    server: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A suspect request.

    :param isolated_crashes: crashes with no other suspect.
    """

    fingerprint: str
    isolated_crashes: tuple[Crash, ...] = ()

    @property
    def quarantined(self):
        """Return whether the request is not to run again."""
        return len(self.isolated_crashes) >= MAX_ISOLATED_CRASHES


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSnapshot:
    """All suspects and quarantined requests, oldest first."""

    suspects: tuple[Suspect, ...]


class Quarantine:
    """Suspects and quarantined requests.

    The number of each is limited; the oldest are evicted first.

    :ivar by_fingerprint: all of them, oldest first.
    """

    def __init__(self):
        self.by_fingerprint: dict[str, Suspect] = {}

    def snapshot(self):
        """Return the table as a QuarantineSnapshot."""
        return QuarantineSnapshot(tuple(self.by_fingerprint.values()))

    def restore(self, snapshot):
        """Replace the table by a QuarantineSnapshot."""
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
            crashes = (*known.isolated_crashes, crash)[:MAX_ISOLATED_CRASHES]
            known = Suspect(fingerprint, crashes)
        self.by_fingerprint[fingerprint] = known
        self._evict_surplus()
        return results.Accepted(index)

    def _clear(self, index, fingerprint):
        known = self.by_fingerprint.get(fingerprint)
        if known is None or known.quarantined:
            return results.Rejected(
                f'request {fingerprint} is not a suspect, or is quarantined'
            )
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
