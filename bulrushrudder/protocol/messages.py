"""Messages of the link layer itself."""

import dataclasses

from bulrushrudder.core import ids

VERSION = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, from both ends.

    :param version: protocol version of the sender.
    :param owner: the sending process.
    :param nonce: random bytes that the peer must sign with the cluster
        secret.
    """

    version: int
    owner: ids.Owner
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Proves that the sender knows the cluster secret.

    :param signature: HMAC of the peer's nonce, keyed with the secret.
    """

    signature: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive.

    :param wants_answer: whether the peer must reply with a heartbeat.
    """

    wants_answer: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A message that requires a Response.

    :param call: number of the request on this link; its response repeats
        it.
    :param body: an encoded message.
    """

    call: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response to a Request.

    :param call: the number of the request.
    :param body: an encoded message.
    """

    call: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """Response: the message was accepted."""
