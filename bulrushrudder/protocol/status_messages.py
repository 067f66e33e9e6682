"""Status of the replicated log for operators."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks the leader for its Status."""


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """Status of a control process as seen by the leader.

    :param id: identifier that was created with the data folder.
    :param voter: whether the process already counts for the quorum.
    :param live: whether it has responded to the leader recently.
    :param lag: number of log entries that it has not acknowledged.
    """

    id: str
    address: str
    voter: bool
    live: bool
    lag: int


@dataclasses.dataclass(frozen=True, slots=True)
class SessionStatus:
    """Status of an entry process as seen by the leader.

    :param index: the last index that it has applied, 0 if unknown.
    :param lag: number of committed entries that it has not applied.
    :param silent_s: seconds since the last contact, -1 if there was none.
    """

    vm: ids.VmId
    incarnation: int
    index: int
    lag: int
    silent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status of the log as seen by its leader.

    :param leader: the address of the leader.
    :param index: the index of the last committed entry.
    :param can_lose_one: whether the quorum would survive the loss of any
        one more control VM.
    :param tolerable_losses: how many more control VMs may be lost.
    """

    leader: str
    term: int
    index: int
    can_lose_one: bool
    members: tuple[MemberStatus, ...]
    sessions: tuple[SessionStatus, ...]
    tolerable_losses: int = 0
