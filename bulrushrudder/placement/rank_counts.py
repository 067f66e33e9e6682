"""Counts of placement requests by rank."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class RankCounts:
    """Placement requests by rank.

    :param queued: number that wait now.
    :param granted: number of grants since the last report.
    :param refused: number of refusals since the last report.
    """

    queued: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    granted: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, other):
        """Add the counts of another coordinator, or of a later time."""
        self.queued.update(other.queued)
        self.granted.update(other.granted)
        self.refused.update(other.refused)
