"""Keeps the number of label sets of a metric within a bound."""

OTHER = 'other'


class BoundedLabels:
    """Lets the first label sets through and folds later ones together.

    :param most: label sets that are told apart.
    """

    def __init__(self, max_sets):
        self._max_sets = max_sets
        self._known = set()

    def limit(self, **labels):
        """Return the labels, or the same names with the value other."""
        key = tuple(labels.values())
        if key in self._known:
            return labels
        if len(self._known) >= self._max_sets:
            return dict.fromkeys(labels, OTHER)
        self._known.add(key)
        return labels
