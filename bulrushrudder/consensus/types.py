"""The log of the consensus and what every member keeps durable."""

import dataclasses
import typing

MemberId = typing.NewType('MemberId', str)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A data folder that takes part.

    :param id: made with the data folder, so a wiped disk is another.
    :param address: where the process on this data folder listens.
    :param voter: whether it counts for a quorum; learners do not.
    """

    id: MemberId
    address: str
    voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A change of the replicated state.

    :param data: opaque here.
    """

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The members from this entry on, whether committed or not."""

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TermStart:
    """The first entry of a leader; its commit commits what came before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One place in the log."""

    index: int
    term: int
    payload: Command | Configuration | TermStart


@dataclasses.dataclass(frozen=True, slots=True)
class Ballot:
    """What a member must not forget between two entries.

    :param cluster: the id of the member that founded the log, or empty.
    :param term: the latest term that was seen.
    :param vote: whom the member voted for in this term, or empty.
    """

    cluster: str
    term: int
    vote: str


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The replicated state up to a place in the log.

    :param members: the configuration in force at this place.
    :param data: opaque here.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Durable:
    """What a member finds on its disk at its start."""

    ballot: Ballot
    snapshot: Snapshot
    entries: tuple[Entry, ...]


NO_BALLOT = Ballot(cluster='', term=0, vote='')
NO_SNAPSHOT = Snapshot(index=0, term=0, members=(), data=b'')
BLANK = Durable(NO_BALLOT, NO_SNAPSHOT, ())


def voters(members):
    """Return the ids of the members that vote."""
    return [member.id for member in members if member.voter]


def quorum(members):
    """Return how many voters are a majority."""
    return len(voters(members)) // 2 + 1
