"""Limits the number of label sets of a metric."""

OTHER = 'other'


class BoundedLabels:
    """Replaces all label sets after the first ones by a common one.

    :param max_sets: number of label sets that are not replaced.
    """

    def __init__(self, max_sets):
        self._max_sets = max_sets
        self._known = set()

    def limit(self, **labels):
        """Return the labels; above the limit, each value is ``other``."""
        key = tuple(labels.values())
        if key in self._known:
            return labels
        if len(self._known) >= self._max_sets:
            return dict.fromkeys(labels, OTHER)
        self._known.add(key)
        return labels
