"""Results of commands, the same on every replica."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The command took effect, now or when it was first sent.

    :param index: the place in the log at which it took effect.
    :param repeated: whether this was a resend.
    """

    index: int
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The command had no effect.

    :param problem: why, in a sentence for the operator.
    :param winner: who holds the version instead, if anybody.
    """

    problem: str
    winner: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Nobody can say now whether the command took effect.

    :param problem: what stood in the way.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """The command was made against a state that has changed since.

    :param index: the place in the log at which that was found.
    """

    index: int


Outcome = Accepted | Rejected | Unavailable | Outdated
