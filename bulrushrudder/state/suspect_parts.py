"""Prompt parts that crash backend servers, in the replicated state.

A server that crashes has attempts which had not produced output yet. Each
reports its crash with the parts of its prompt that other requests may
share. A part is quarantined once it was there in several crashes and no
request with it has produced output in between. If another quarantined part
was there in all of its crashes, either may be the cause: a request with
only one of them still runs, and shows which it is.

Crashes of several servers at one time may have another cause. They belong
to one round: a round ends when its first report is committed, and only
attempts sent by a process that had seen the report belong to a later one.
"""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results

MIN_CRASHES = 3
# A request that has crashed a server does not start again on a part with
# this many crashes.
MIN_CRASHES_BEFORE_REPEAT = 2
MIN_ROUNDS = 2
MIN_REQUESTS = 2
MAX_PARTS = 4096
# Further crashes of a part are not recorded.
MAX_CRASHES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ReportEarlyCrash:
    """Report that a server crashed before a request produced output.

    :param request: fingerprint of the request.
    :param parts: ids of the shared parts of its prompt.
    :param view: index of the log that the process had applied when it sent
        the attempt.
    """

    request: str
    parts: tuple[str, ...]
    server: ids.ServerId
    incarnation: int
    view: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClearParts:
    """Clear parts, as a request with them has produced output."""

    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TryParts:
    """Let requests with quarantined parts run until the next crash."""

    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PartCrash:
    """A crash of one incarnation of a server."""

    server: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectPart:
    """A part, or a whole request, that was there when servers crashed.

    :param part: id of the part, or the fingerprint of the request.
    :param crashes: the first crashes, up to MAX_CRASHES.
    :param requests: fingerprints of requests that had the part in them, up
        to MIN_REQUESTS.
    :param rounds: number of rounds that they belong to.
    :param round_start: index of the log at which the latest round began.
    :param trials: how often requests were let run since the part was
        quarantined at first.
    """

    part: str
    crashes: tuple[PartCrash, ...]
    requests: tuple[str, ...]
    rounds: int
    round_start: int
    trials: int = 0

    def is_quarantined(self, min_crashes=MIN_CRASHES):
        """Return whether requests with the part are refused.

        A part is not told from the rest of a request by that request alone.
        """
        told_apart = (
            len(self.requests) >= MIN_REQUESTS or self.part == self.requests[0]
        )
        rounds = min(MIN_ROUNDS, min_crashes - 1)
        return (
            told_apart
            and len(self.crashes) >= min_crashes
            and self.rounds >= rounds
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectPartsSnapshot:
    """All suspect parts, oldest first."""

    suspects: tuple[SuspectPart, ...]


class SuspectParts:
    """Suspect and quarantined parts; beyond a limit the oldest go first.

    :ivar by_part: all of them, oldest first.
    """

    def __init__(self):
        self.by_part: dict[str, SuspectPart] = {}

    def snapshot(self):
        """Return the table as a SuspectPartsSnapshot."""
        return SuspectPartsSnapshot(tuple(self.by_part.values()))

    def restore(self, snapshot):
        """Replace the table by a SuspectPartsSnapshot."""
        self.by_part = {s.part: s for s in snapshot.suspects}

    def refuses(self, request, parts, min_crashes=MIN_CRASHES):
        """Return whether a request must not be sent to a server.

        :param request: fingerprint of the request.
        :param parts: ids of the shared parts of its prompt.
        :param min_crashes: crashes from which a part is quarantined.
        """
        if not self.by_part:
            return False
        present = {request, *parts}
        return any(
            suspect.is_quarantined(min_crashes)
            and not self._has_other_cause(suspect, present)
            for suspect in map(self.by_part.get, present)
            if suspect is not None
        )

    def _has_other_cause(self, suspect, present):
        """Return whether a part not present explains all crashes of one."""
        return any(
            other.part not in present
            and other.is_quarantined()
            and set(suspect.crashes).issubset(other.crashes)
            for other in self.by_part.values()
        )

    def known(self, parts):
        """Return those of some parts that are suspect or quarantined."""
        if not self.by_part:
            return ()
        return tuple(part for part in parts if part in self.by_part)

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        match command:
            case ReportEarlyCrash():
                return self._report(index, command)
            case ClearParts(parts=parts):
                return self._clear(index, parts)
            case TryParts(parts=parts):
                return self._try(index, parts)
        raise AssertionError(f'unknown command {command!r}')

    def _report(self, index, command):
        for part in dict.fromkeys((command.request, *command.parts)):
            known = self.by_part.get(part, SuspectPart(part, (), (), 0, 0))
            self.by_part[part] = _with_crash(known, index, command)
        self._evict_surplus()
        return results.Accepted(index)

    def _clear(self, index, parts):
        cleared = self.known(parts)
        if not cleared:
            return results.Rejected('none of the parts is suspect')
        for part in cleared:
            del self.by_part[part]
        return results.Accepted(index)

    def _try(self, index, parts):
        for part in self.known(parts):
            suspect = self.by_part[part]
            if suspect.is_quarantined():
                self.by_part[part] = dataclasses.replace(
                    suspect,
                    crashes=suspect.crashes[1 - MIN_CRASHES :],
                    trials=suspect.trials + 1,
                )
        return results.Accepted(index)

    def _evict_surplus(self):
        surplus = len(self.by_part) - MAX_PARTS
        if surplus <= 0:
            return
        oldest_first = sorted(
            self.by_part.values(), key=SuspectPart.is_quarantined
        )
        for suspect in oldest_first[:surplus]:
            del self.by_part[suspect.part]


def _with_crash(known, index, command):
    """Return a SuspectPart with one more report."""
    crash = PartCrash(command.server, command.incarnation)
    crashes, rounds = known.crashes, known.rounds
    round_start = known.round_start
    if crash not in crashes:
        crashes = (*crashes, crash)[:MAX_CRASHES]
        if command.view >= round_start:
            rounds = min(rounds + 1, MIN_ROUNDS)
            round_start = index
    requests = known.requests
    if command.request not in requests:
        requests = (*requests, command.request)[:MIN_REQUESTS]
    return dataclasses.replace(
        known,
        crashes=crashes,
        requests=requests,
        rounds=rounds,
        round_start=round_start,
    )
