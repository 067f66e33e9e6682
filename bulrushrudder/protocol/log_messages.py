"""Messages about the log and proposals."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Observe:
    """Asks a control process for the log after an index."""

    owner: ids.Owner
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Committed commands in the order of the log.

    :param first: the index of the first command.
    :param commands: encoded commands; empty bytes at places that hold
        none.
    """

    first: int
    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessResponse:
    """Says that an index was current when a round began.

    :param round: the number of the observer's question.
    """

    round: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessRequest:
    """Asks for a FreshnessResponse; the observer notes when it was sent.

    :param index: up to where the log is in force at the observer.
    """

    round: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """Tells an observer where the control processes listen."""

    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Asks the control process to commit a command."""

    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """The outcome of a proposed command, encoded."""

    outcome: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Passes on what a backend server announced.

    :param server: an encoded BackendServer join command.
    """

    server: bytes
    leaving: bool
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StateChunk:
    """A part of the state, for an observer that is far behind.

    :param index: the place in the log that the whole state stands for.
    :param offset: where in the encoded state this part begins, in bytes.
    :param total: bytes of the whole encoded state.
    """

    index: int
    offset: int
    total: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A command that a control process passes on to the leader."""

    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """The process asked does not lead; the question had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Asks the leader for an index that is current."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexResponse:
    """An index that was current after the question came."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObserverContact:
    """When a control process heard of an observer last.

    :param index: up to where the log is in force there.
    :param age_s: seconds since then.
    """

    owner: ids.Owner
    index: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportObservers:
    """Tells the leader which observers are alive."""

    observers: tuple[ObserverContact, ...]
