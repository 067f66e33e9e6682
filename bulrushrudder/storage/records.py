"""What a frame of the log file holds."""

import dataclasses

from bulrushrudder.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """All that was synced at once.

    :param ballot: the ballot from here on.
    :param entries: each takes the place of all at its index and after.
    """

    ballot: types.Ballot
    entries: tuple[types.Entry, ...]
