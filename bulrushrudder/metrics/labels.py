"""Limits the number of label sets of a metric."""

OTHER = 'other'


class BoundedLabels:
    """Keeps the first label sets and aggregates all later ones.

    :param max_sets: number of label sets that are kept.
    """

    def __init__(self, max_sets):
        self._max_sets = max_sets
        self._known = set()

    def limit(self, **labels):
        """Return the labels, with each value `other` above the limit."""
        key = tuple(labels.values())
        if key in self._known:
            return labels
        if len(self._known) >= self._max_sets:
            return dict.fromkeys(labels, OTHER)
        self._known.add(key)
        return labels
