"""Entries of the replicated log and the persistent state of a member."""

import dataclasses
import typing

MemberId = typing.NewType('MemberId', str)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A member of the cluster, identified by its data folder.

    :param id: created with the data folder, so that a wiped disk is a
        new member.
    :param address: the address of the process that uses the data folder.
    :param voter: whether it counts for a quorum; learners do not.
    """

    id: MemberId
    address: str
    voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """An encoded command for the state machine.

    :param data: opaque to the consensus.
    """

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The members from this entry on, committed or not."""

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TermStart:
    """The first entry of a new leader.

    Its commit also commits all entries of earlier terms.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the log."""

    index: int
    term: int
    payload: Command | Configuration | TermStart


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """The term and vote of a member, persisted besides the entries.

    :param cluster: the id of the member that founded the log, or empty.
    :param term: the latest term that this member has seen.
    :param vote: the id of the member that it voted for in this term, or
        empty.
    """

    cluster: str
    term: int
    vote: str


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state of the state machine up to an index of the log.

    :param members: the configuration in effect at this index.
    :param data: the encoded state, opaque to the consensus.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PersistentState:
    """The persistent state of a member, loaded when it starts."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...]


NO_HARD_STATE = HardState(cluster='', term=0, vote='')
NO_SNAPSHOT = Snapshot(index=0, term=0, members=(), data=b'')
EMPTY_STATE = PersistentState(NO_HARD_STATE, NO_SNAPSHOT, ())


def size(entry):
    """Return the size of an entry's command in bytes, 0 without one."""
    match entry.payload:
        case Command(data=data):
            return len(data)
    return 0


def voters(members):
    """Return the ids of the members that vote."""
    return [member.id for member in members if member.voter]


def quorum(members):
    """Return the number of voters that form a majority."""
    return len(voters(members)) // 2 + 1
