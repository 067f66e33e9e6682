"""Messages between members."""

import dataclasses

from bulrushrudder.consensus import types


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """What every message between members begins with.

    :param cluster: the founder's id; members of other logs ignore it.
    :param term: the sender's term, or the one that it asks votes for.
    :param sender: the sender's id.
    :param address: where answers go.
    :param target: the id of the member that is meant, or empty; another
        data folder may have come to its address.
    """

    cluster: str
    term: int
    sender: types.MemberId
    address: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskVote:
    """Asks for a vote.

    :param pre_vote: asks only whether a vote would be given (pre-vote).
    :param transfer: whether the leader asked for this election.
    """

    head: Head
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Voted:
    """Answers AskVote."""

    head: Head
    granted: bool
    pre_vote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Entries for a follower; without any it is a heartbeat.

    :param previous_index: the place before the first entry.
    :param commit: up to where the leader knows entries as committed.
    :param round: echoed by the answer, for quorum rounds.
    """

    head: Head
    previous_index: int
    previous_term: int
    entries: tuple[types.Entry, ...]
    commit: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Answers Append.

    :param index: up to where the logs agree; where they do not, up to
        where they may.
    """

    head: Head
    success: bool
    index: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPart:
    """A part of the leader's snapshot.

    :param offset: where in the data this part begins, in bytes.
    :param total: bytes of the whole data.
    """

    head: Head
    index: int
    snapshot_term: int
    members: tuple[types.Member, ...]
    offset: int
    total: int
    data: bytes
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPartTaken:
    """Answers SnapshotPart.

    :param offset: bytes that the follower holds of it.
    """

    head: Head
    index: int
    offset: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """The leader asks a voter to become leader at once."""

    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class Discover:
    """A process that hears no leader asks who is there.

    :param sequence: the number of the question, echoed by the answer.
    :param log_empty: whether the sender's log is empty.
    """

    head: Head
    sequence: int
    log_empty: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Discovered:
    """Answers Discover.

    :param log_empty: whether the sender's log is empty.
    """

    head: Head
    sequence: int
    log_empty: bool
    addresses: tuple[str, ...] = ()


Message = (
    AskVote
    | Voted
    | Append
    | Appended
    | SnapshotPart
    | SnapshotPartTaken
    | HandOver
    | Discover
    | Discovered
)
