"""Decides when a software version without servers is forgotten."""

# Longer than a stream lasts, with the time until its caller takes it up.
RETENTION_S = 60.0


class SoftwareExpiry:
    """Tracks how long versions have had no server."""

    def __init__(self):
        self._absent_since_s = {}

    def due(self, absent, now_s):
        """Return the pairs of model and version to forget.

        :param absent: pairs of model and version without a server.
        :param now_s: monotonic seconds.
        """
        self._absent_since_s = {
            pair: self._absent_since_s.get(pair, now_s) for pair in absent
        }
        return [
            pair
            for pair, since_s in self._absent_since_s.items()
            if now_s - since_s > RETENTION_S
        ]
