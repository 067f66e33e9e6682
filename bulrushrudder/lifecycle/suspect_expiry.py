"""Decides when suspect prompt parts are forgotten and quarantined ones tried.

Servers may have crashed for another reason, which has ended since. So
requests with a quarantined part are let run from time to time; the next
crash quarantines it again, and then for longer. The leader keeps the time,
so that steps of the wall clock have no effect; a new leader starts to count
anew.
"""

import dataclasses

SUSPECT_RETENTION_S = 600.0
FIRST_TRIAL_S = 20.0
TRIAL_BACK_OFF = 3
MAX_TRIAL_DELAY_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class DueParts:
    """Parts whose time has come.

    :param forgotten: ids of suspect parts to clear.
    :param tried: ids of quarantined parts to try.
    """

    forgotten: tuple[str, ...]
    tried: tuple[str, ...]


class SuspectExpiry:
    """Follows when each part last changed."""

    def __init__(self):
        self._seen_by_part = {}

    def due(self, by_part, now_s):
        """Return the DueParts.

        :param by_part: the SuspectParts of the table, by part.
        :param now_s: monotonic seconds.
        """
        self._seen_by_part = {
            part: self._last_change(suspect, now_s)
            for part, suspect in by_part.items()
        }
        forgotten = []
        tried = []
        for part, (suspect, changed_s) in self._seen_by_part.items():
            unchanged_s = now_s - changed_s
            if suspect.is_quarantined():
                if unchanged_s >= _trial_delay_s(suspect):
                    tried.append(part)
            elif unchanged_s >= SUSPECT_RETENTION_S:
                forgotten.append(part)
        return DueParts(tuple(forgotten), tuple(tried))

    def _last_change(self, suspect, now_s):
        seen = self._seen_by_part.get(suspect.part)
        if seen is not None and seen[0] == suspect:
            return seen
        return suspect, now_s


def _trial_delay_s(suspect):
    return min(
        FIRST_TRIAL_S * TRIAL_BACK_OFF**suspect.trials, MAX_TRIAL_DELAY_S
    )
