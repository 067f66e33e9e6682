"""The state of the log, as operators ask for it."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks the leader for a Status."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """A control process as the leader sees it.

    :param id: made with its data folder.
    :param voter: whether it counts for a quorum yet.
    :param live: whether it answered the leader lately.
    :param lag: entries of the log that it is not known to hold.
    """

    id: str
    address: str
    voter: bool
    live: bool
    lag: int


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStatus:
    """An entry process as the leader sees it.

    :param index: up to where the log is in force there, 0 if unknown.
    :param lag: committed entries that are not in force there.
    :param silent_s: seconds since it was heard of, -1 if never.
    """

    vm: ids.VmId
    incarnation: int
    index: int
    lag: int
    silent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """The log as its leader sees it.

    :param leader: the address of the leader.
    :param index: the last committed entry.
    :param can_lose_one: whether any one more control VM can be lost now
        without a stop.
    """

    leader: str
    term: int
    index: int
    can_lose_one: bool
    members: tuple[MemberStatus, ...]
    sessions: tuple[SessionStatus, ...]
