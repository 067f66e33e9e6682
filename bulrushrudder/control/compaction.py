"""Decides when a snapshot replaces the log."""

from bulrushrudder.consensus import types

# A snapshot is due after MAX_ENTRIES, or after MIN_BYTES of commands. A larger
# state is written less often: the log grows to FACTOR times its size.
MAX_ENTRIES = 4000
MIN_BYTES = 2 * 1024 * 1024
FACTOR = 2
RETRY_S = 2.0


class Compaction:
    """Compares the log with the last snapshot.

    :param log: the Log of the replica.
    """

    def __init__(self, log):
        self._log = log
        self._applied_bytes = 0
        self._retry_s = 0.0

    def record_applied(self, entry):
        """Record that an entry was applied to the state."""
        self._applied_bytes += types.size(entry)

    def record_snapshot(self, snapshot, index):
        """Record that a snapshot was saved.

        :param index: index of the last entry applied.
        """
        count = max(index - snapshot.index, 0)
        later = self._log.after(snapshot.index, count)
        self._applied_bytes = sum(map(types.size, later))
        self._retry_s = 0.0

    def is_due(self, index, now_s):
        """Return whether to take a snapshot now.

        True again every RETRY_S until there is one, as the disk may have no
        space for it.

        :param index: index of the last entry applied.
        :param now_s: monotonic seconds.
        """
        if now_s < self._retry_s or not self._is_log_long(index):
            return False
        self._retry_s = now_s + RETRY_S
        return True

    def _is_log_long(self, index):
        snapshot = self._log.snapshot
        return (
            index - snapshot.index >= MAX_ENTRIES
            or self._applied_bytes
            >= max(MIN_BYTES, FACTOR * len(snapshot.data))
        )
