"""What a replica asks its process to do.

All SaveEntries and SaveSnapshot actions of a batch are synced to the
disk before any other action of the batch is carried out.
"""

import dataclasses

from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class SaveEntries:
    """Make the ballot and entries durable.

    An entry takes the place of all that stand at its index and after.
    """

    ballot: types.Ballot
    entries: tuple[types.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Make a snapshot durable, with the entries that stay in the log."""

    ballot: types.Ballot
    snapshot: types.Snapshot
    entries: tuple[types.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message; it may get lost."""

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state, in order."""

    entries: tuple[types.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    """Put a snapshot in the place of the state."""

    snapshot: types.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Proposed commands stand in the log of the leader.

    :param first: the index of the first command.
    """

    token: int
    first: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """This replica does not lead: commands or question had no effect."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """The index was current after the question was asked."""

    token: int
    index: int


Action = (
    SaveEntries
    | SaveSnapshot
    | Send
    | Apply
    | Restore
    | Accepted
    | Declined
    | Confirmed
)
