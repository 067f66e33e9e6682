"""Errors of links between processes."""

import dataclasses
import enum


class LinkProblem(enum.Enum):
    """Why a link gave no answer."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    CLOSED = 'closed'
    TIMEOUT = 'timeout'
    INVALID = 'invalid'
    OVERLOADED = 'overloaded'


@dataclasses.dataclass(frozen=True, slots=True)
class LinkError:
    """A question on a link that got no answer.

    :param sent: whether the peer may have received the question.
    """

    problem: LinkProblem
    detail: str
    sent: bool
