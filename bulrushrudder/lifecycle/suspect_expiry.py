"""Decides when suspect and quarantined prompt parts are forgotten.

The leader keeps the time, so that steps of the wall clock have no effect;
a new leader starts to count anew.
"""

SUSPECT_RETENTION_S = 600.0
# A part that still crashes servers is quarantined again after as many
# crashes as at first.
QUARANTINE_RETENTION_S = 3600.0


class SuspectExpiry:
    """Follows when each part last changed."""

    def __init__(self):
        self._seen_by_part = {}

    def expired(self, by_part, now_s):
        """Return the ids of the parts to clear.

        :param by_part: the SuspectParts of the table, by part.
        :param now_s: monotonic seconds.
        """
        self._seen_by_part = {
            part: self._last_change(suspect, now_s)
            for part, suspect in by_part.items()
        }
        return tuple(
            part
            for part, (suspect, changed_s) in self._seen_by_part.items()
            if now_s - changed_s >= _retention_s(suspect)
        )

    def _last_change(self, suspect, now_s):
        seen = self._seen_by_part.get(suspect.part)
        if seen is not None and seen[0] == suspect:
            return seen
        return suspect, now_s


def _retention_s(suspect):
    if suspect.is_quarantined():
        return QUARANTINE_RETENTION_S
    return SUSPECT_RETENTION_S
