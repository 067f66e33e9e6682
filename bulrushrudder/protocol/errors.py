"""Errors of requests over links between processes."""

import dataclasses
import enum


class LinkProblem(enum.Enum):
    """Reason why a request over a link got no response."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    CLOSED = 'closed'
    TIMEOUT = 'timeout'
    MESSAGE_TOO_LARGE = 'message too large'


@dataclasses.dataclass(frozen=True, slots=True)
class LinkError:
    """A request over a link that got no response.

    :param sent: whether the peer may have received the request.
    """

    problem: LinkProblem
    detail: str
    sent: bool
