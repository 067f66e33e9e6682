"""How many servers of each pool should prefill, in the replicated state."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results


@dataclasses.dataclass(frozen=True, slots=True)
class WantPrefills:
    """A coordinator wants so many prefill servers in its pool."""

    model: ids.ModelId
    prefills: int


@dataclasses.dataclass(frozen=True, slots=True)
class BalancesSnapshot:
    """All that coordinators want."""

    wanted: tuple[WantPrefills, ...]


class Balances:
    """What coordinators wanted last.

    :ivar by_model: prefill servers that each pool should have.
    """

    def __init__(self):
        self.by_model: dict[ids.ModelId, int] = {}

    def snapshot(self):
        """Return the table as a BalancesSnapshot."""
        wanted = (WantPrefills(m, n) for m, n in self.by_model.items())
        return BalancesSnapshot(tuple(wanted))

    def restore(self, snapshot):
        """Put a BalancesSnapshot in the place of the table."""
        self.by_model = {w.model: w.prefills for w in snapshot.wanted}

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        self.by_model[command.model] = command.prefills
        return results.Accepted(index)
