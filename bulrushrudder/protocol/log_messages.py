"""Messages about the replicated log and proposals to it."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Observe:
    """Subscribes an observer to the log.

    :param index: the last index that the observer has applied.
    """

    owner: ids.Owner
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Consecutive committed entries of the log.

    :param first: the index of the first entry.
    :param commands: an encoded command per entry; empty bytes for an
        entry without a command.
    """

    first: int
    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessResponse:
    """Response to a FreshnessRequest.

    :param round: the number of the request.
    :param index: the commit index at some time after the request came.
    """

    round: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessRequest:
    """Asks for the commit index, to check that the view is current.

    The observer records when it sent the request: once it has applied
    the index of the response, its view was current at that time.

    :param round: number that the response repeats.
    :param index: the last index that the observer has applied.
    """

    round: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """Sends an observer the addresses of the control processes."""

    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Asks a control process to commit a command.

    :param command: the encoded command.
    """

    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """Response to Propose or Forward.

    :param outcome: the encoded outcome of the command.
    """

    outcome: bytes


# Stands for the incarnation in a LeaveServer whose server did not state it.
LATEST_INCARNATION = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Passes on the announcement of a backend server.

    :param server: an encoded JoinServer command, or the LeaveServer command
        of a server that says no more than that it has left.
    :param leaving: whether the server is leaving.
    """

    server: bytes
    leaving: bool
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StateChunk:
    """A chunk of a state snapshot, for an observer that is far behind.

    :param index: the last index of the log that the snapshot includes.
    :param offset: position of the chunk in the encoded snapshot, in
        bytes.
    :param total: size of the encoded snapshot in bytes.
    """

    index: int
    offset: int
    total: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Passes a proposed command on to the leader.

    :param command: the encoded command.
    """

    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """Response: the process is not the leader; nothing was changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Asks the leader for a read index."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexResponse:
    """Response to a ReadIndexRequest.

    :param index: the commit index at some time after the request came.
    """

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObserverContact:
    """The last contact of a control process with an observer.

    :param index: the last index that the observer has applied.
    :param age_s: seconds since the contact.
    """

    owner: ids.Owner
    index: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportObservers:
    """Reports to the leader which observers are alive."""

    observers: tuple[ObserverContact, ...]
