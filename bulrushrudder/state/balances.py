"""The wanted number of prefill servers per pool, as replicated."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results


@dataclasses.dataclass(frozen=True, slots=True)
class WantPrefills:
    """Set the number of prefill servers in the pool of a model."""

    model: ids.ModelId
    prefills: int


@dataclasses.dataclass(frozen=True, slots=True)
class BalancesSnapshot:
    """The wanted numbers of all pools."""

    wanted: tuple[WantPrefills, ...]


class Balances:
    """The numbers of prefill servers that coordinators last asked for.

    :ivar by_model: wanted prefill servers by the model of the pool.
    """

    def __init__(self):
        self.by_model: dict[ids.ModelId, int] = {}

    def snapshot(self):
        """Return the table as a BalancesSnapshot."""
        wanted = (WantPrefills(m, n) for m, n in self.by_model.items())
        return BalancesSnapshot(tuple(wanted))

    def restore(self, snapshot):
        """Replace the table by a BalancesSnapshot."""
        self.by_model = {w.model: w.prefills for w in snapshot.wanted}

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        self.by_model[command.model] = command.prefills
        return results.Accepted(index)
