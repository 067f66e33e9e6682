"""The record in a frame of the log file."""

import dataclasses

from bulrushrudder.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """A ballot and entries that are synced together.

    :param ballot: the ballot from this record on.
    :param entries: each replaces all entries at its index and after it.
    """

    hard_state: types.HardState
    entries: tuple[types.Entry, ...]
