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
    :param commands: encoded commands.
    """

    first: int
    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Vouch:
    """Says that an index was current when a round began.

    :param round: the number of the observer's question.
    """

    round: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskVouch:
    """Asks for a Vouch; the observer notes when it was sent."""

    round: int


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
