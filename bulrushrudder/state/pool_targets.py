"""Wanted number of prefill servers of each pool in the replicated state."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.state import results


@dataclasses.dataclass(frozen=True, slots=True)
class SetPrefillTarget:
    """Set the wanted number of prefill servers for a model.

    :param prefills: wanted number of prefill servers.
    """

    model: ids.ModelId
    prefills: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTargetsSnapshot:
    """The wanted numbers of all pools."""

    wanted: tuple[SetPrefillTarget, ...]


class PoolTargets:
    """The numbers of prefill servers that coordinators last asked for.

    :ivar prefills_by_model: wanted prefill servers by the model of the pool.
    """

    def __init__(self):
        self.prefills_by_model: dict[ids.ModelId, int] = {}

    def snapshot(self):
        """Return the table as a PoolTargetsSnapshot."""
        wanted = (
            SetPrefillTarget(m, n) for m, n in self.prefills_by_model.items()
        )
        return PoolTargetsSnapshot(tuple(wanted))

    def restore(self, snapshot):
        """Replace the table by a PoolTargetsSnapshot."""
        self.prefills_by_model = {w.model: w.prefills for w in snapshot.wanted}

    def apply(self, index, command):
        """Apply a committed command and return its result."""
        self.prefills_by_model[command.model] = command.prefills
        return results.Accepted(index)
