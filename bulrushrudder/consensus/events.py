"""Events that a replica handles."""

import dataclasses

from bulrushrudder.consensus import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from another member has arrived."""

    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """Commands are proposed for the log.

    :param token: identifies the proposal in the action that answers it.
    """

    token: int
    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexRequested:
    """A linearizable read needs a commit index confirmed by a quorum.

    :param token: identifies the read in the action that answers it.
    """

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The applied state was encoded, so that the log can be compacted.

    :param index: the index of the last entry applied to this state.
    :param data: the encoded state.
    """

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is about to stop.

    A leader transfers its leadership; the next one is told of the departure.
    """


Event = (
    Ticked
    | Received
    | Proposed
    | ReadIndexRequested
    | SnapshotTaken
    | StopRequested
)
