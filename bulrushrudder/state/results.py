"""Results of commands, the same on every replica."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The command took effect, now or when it was first sent.

    :param index: log index at which it took effect.
    :param repeated: whether it had taken effect before.
    """

    index: int
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The command had no effect.

    :param problem: the reason, for the operator.
    :param winner: the operator or VM whose command won, if any.
    """

    problem: str
    winner: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """It is unknown whether the command took effect.

    :param problem: the reason, for the operator.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """The command had no effect, as it was based on an older state.

    :param index: log index of the command.
    """

    index: int


Outcome = Accepted | Rejected | Unavailable | Outdated
