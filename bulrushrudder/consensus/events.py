"""What a replica is told."""

import dataclasses

from bulrushrudder.consensus import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message of another member has come."""

    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """Commands that wait to be committed.

    :param token: names the proposal in the action that answers it.
    """

    token: int
    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmAsked:
    """Asks for an index that is current, by a quorum round."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateSaved:
    """The applied state was encoded, so that the log can be cut.

    :param index: the last entry that the state holds.
    """

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverAsked:
    """The process stops and gives leadership away."""


Event = (
    Ticked | Received | Proposed | ConfirmAsked | StateSaved | HandOverAsked
)
