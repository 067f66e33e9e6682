"""Actions that a replica returns for its process to carry out.

All SaveEntries and SaveSnapshot actions of a batch must be synced to
disk before any other action of the batch is carried out.
"""

import dataclasses
import enum

from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class SaveEntries:
    """Persist the hard state and entries.

    Each entry replaces all entries at its index and after it.
    """

    hard_state: types.HardState
    entries: tuple[types.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Persist a snapshot with the entries that remain in the log."""

    hard_state: types.HardState
    snapshot: types.Snapshot
    entries: tuple[types.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message; delivery is not guaranteed."""

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state machine, in order."""

    entries: tuple[types.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state of the state machine by a snapshot."""

    snapshot: types.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalAppended:
    """The leader appended proposed commands; they are not committed yet.

    :param token: the token of the proposal.
    :param first: the index of the first command.
    :param term: the term of the appended entries.
    """

    token: int
    first: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """The proposal or read had no effect: this replica does not lead."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexConfirmed:
    """A quorum confirmed the commit index for a linearizable read.

    :param token: the token of the read.
    :param index: at least the commit index when the read was requested.
    """

    token: int
    index: int


class MemberChange(enum.Enum):
    """What a change of members does to one of them."""

    ADDED = 'added'
    PROMOTED = 'promoted'
    DEMOTED = 'demoted'
    REMOVED = 'removed'
    MOVED = 'moved'


class ChangeReason(enum.Enum):
    """Why a leader changes a member."""

    ASKED = 'asked for the log'
    CAUGHT_UP = 'caught up'
    ADDRESS_REUSED = 'another data folder uses its address'
    DEPARTED = 'announced that it stops'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """The leader appended a change of a member; it is not committed yet.

    :param member: the member after the change, or before its removal.
    :param voters: the ids of the voters after the change.
    :param tolerable_losses: how many more voters may be lost then.
    """

    change: MemberChange
    member: types.Member
    reason: ChangeReason
    voters: tuple[types.MemberId, ...]
    tolerable_losses: int


Action = (
    SaveEntries
    | SaveSnapshot
    | Send
    | Apply
    | Restore
    | ProposalAppended
    | NotLeader
    | ReadIndexConfirmed
    | MemberChanged
)
