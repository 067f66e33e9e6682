"""The in-memory log of a replica."""

from bulrushrudder.consensus import types


class Log:
    """A snapshot and log entries.

    Entries that the snapshot already covers may be retained for members
    that lag.

    :param snapshot: the last snapshot.
    :param entries: contiguous entries that reach at least the snapshot's
        index.
    """

    def __init__(self, snapshot, entries):
        self.snapshot = snapshot
        self._reset(entries)

    @property
    def first_index(self):
        """Return the index of the first entry in memory."""
        if self.entries:
            return self.entries[0].index
        return self.snapshot.index + 1

    @property
    def last_index(self):
        """Return the index of the last entry."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def is_empty(self):
        """Return whether the log has neither entries nor a snapshot."""
        return self.last_index == 0

    def term_at(self, index):
        """Return the term of an entry, or None if it is not in memory."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.first_index
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def after(self, index, limit=None):
        """Return the entries after an index.

        :param limit: the maximum number of entries.
        """
        start = max(index + 1 - self.first_index, 0)
        end = None if limit is None else start + limit
        return self.entries[start:end]

    def append(self, entries):
        """Append entries, after dropping all from the first one's index."""
        if not entries:
            return
        first = entries[0].index
        del self.entries[first - self.first_index :]
        self.entries.extend(entries)
        self._configurations = [
            *(e for e in self._configurations if e.index < first),
            *_configurations(entries),
        ]

    def compact(self, snapshot, keep_after):
        """Set a snapshot of this log and drop entries that it covers.

        :param keep_after: entries up to this index are dropped.
        """
        self._reset(self.after(min(keep_after, snapshot.index)))
        self.snapshot = snapshot

    def install(self, snapshot):
        """Install the leader's snapshot.

        Later entries remain if this log has the snapshot's last entry.
        """
        matches = self.term_at(snapshot.index) == snapshot.term
        self._reset(self.after(snapshot.index) if matches else ())
        self.snapshot = snapshot

    def members(self, index=None):
        """Return the members of the configuration in effect at an index.

        :param index: None for the end of the log.
        """
        for entry in reversed(self._configurations):
            if index is None or entry.index <= index:
                return entry.payload.members
        return self.snapshot.members

    def configuration_index(self):
        """Return the index of the latest configuration."""
        if self._configurations:
            return self._configurations[-1].index
        return self.snapshot.index

    def _reset(self, entries):
        self.entries = list(entries)
        self._configurations = _configurations(self.entries)


def _configurations(entries):
    return [e for e in entries if isinstance(e.payload, types.Configuration)]
