"""Messages that every link carries."""

import dataclasses

from bulrushrudder.core import ids

VERSION = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, from both ends.

    :param nonce: what the peer must sign with the cluster secret.
    """

    version: int
    owner: ids.Owner
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Shows that the sender holds the cluster secret."""

    signature: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says that the link is alive.

    :param wants_answer: whether the peer shall say so too.
    """

    wants_answer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A message that wants an answer.

    :param call: matches the answer to the question on this link.
    :param body: an encoded message.
    """

    call: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The answer to a Request."""

    call: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """Says that a message was taken in."""
