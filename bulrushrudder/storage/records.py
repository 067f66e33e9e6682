"""The record in a frame of the log file."""

import dataclasses

from bulrushrudder.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Hard state and entries that are synced together.

    :param hard_state: the hard state from this record on.
    :param entries: each replaces all entries at its index and after it.
    """

    hard_state: types.HardState
    entries: tuple[types.Entry, ...]
