"""Calls to backend servers and the parts of their responses."""

import dataclasses
import enum
import math


class ProblemKind(enum.Enum):
    """Kinds of failure of a call."""

    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    INVALID = 'invalid'
    EXPIRED = 'expired'
    HELD_BACK = 'held back'


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A call without a complete response.

    :param sent: whether the server may have received the call.
    :param of_server: whether no lost path can explain it.
    """

    kind: ProblemKind
    detail: str
    sent: bool
    of_server: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def header(self, name):
        """Return the value of a header, or None.

        :param name: name of the header in lowercase.
        """
        return next(iter(self.values(name)), None)

    def values(self, name):
        """Return all values of a header, in order.

        :param name: name of the header in lowercase.
        """
        return [
            value
            for header_name, value in self.headers
            if header_name.lower() == name
        ]


@dataclasses.dataclass(slots=True)
class BodyChunk:
    """Bytes of the body of a response that have arrived so far."""

    data: bytearray


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End of a complete response.

    :param at_close: whether only the close of the connection marks it.
    """

    at_close: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call as it is sent over a connection.

    :param data: the complete request in bytes.
    :param id: the id that the server echoes in its response; empty if the
        call has none.
    :param without_body: whether the response has no body regardless of its
        headers, as after HEAD.
    :param expires_s: seconds of the loop's clock after which it must not
        be sent.
    :param starts_work: whether it has the server begin work: it counts
        against the rate of a cold server, and servers of evacuated zones do
        not get it.
    :param room: the AnswerRoom in which its answer is kept; None if it
        does not go to a client.
    """

    data: bytes
    id: str = ''
    without_body: bool = False
    expires_s: float = math.inf
    starts_work: bool = False
    room: object = None
