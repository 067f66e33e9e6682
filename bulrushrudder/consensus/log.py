"""The entries that a replica holds in memory."""

from bulrushrudder.consensus import types


class Log:
    """Entries after a snapshot, and some before its end.

    :param snapshot: the last snapshot.
    :param entries: entries without gaps that reach its end or beyond.
    """

    def __init__(self, snapshot, entries):
        self.snapshot = snapshot
        self._reset(entries)

    @property
    def first_index(self):
        """Return the index of the first entry that is held."""
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
        """Return whether nothing was ever written."""
        return self.last_index == 0

    def term_at(self, index):
        """Return the term of an entry, or None where it is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.first_index
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def after(self, index, limit=None):
        """Return entries that follow an index.

        :param limit: the number of entries at most.
        """
        start = max(index + 1 - self.first_index, 0)
        end = None if limit is None else start + limit
        return self.entries[start:end]

    def append(self, entries):
        """Add entries; the first takes the place of all after it."""
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
        """Take a snapshot of this log and drop what it makes needless.

        :param keep_after: entries up to this index are dropped.
        """
        self._reset(self.after(min(keep_after, snapshot.index)))
        self.snapshot = snapshot

    def install(self, snapshot):
        """Take another log's snapshot; entries stay where they agree."""
        matches = self.term_at(snapshot.index) == snapshot.term
        self._reset(self.after(snapshot.index) if matches else ())
        self.snapshot = snapshot

    def members(self, index=None):
        """Return the members in force at an index.

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
