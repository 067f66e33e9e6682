"""Messages that a node exchanges at the target size, in bytes."""

import dataclasses

from bulrushrudder.capacity import target
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """A kind of message between a node and the rest of the fleet.

    :param role: whose work it is.
    :param size: bytes on the wire of one message, alone in a packet.
    :param per_s: messages a second at one node, sent and received.
    :param mechanism: what carries it, and whether it runs today.
    """

    role: str
    name: str
    size: int
    per_s: float
    mechanism: str

    @property
    def bytes_per_s(self):
        """Return bytes a second at one node."""
        return self.size * self.per_s


def message_bytes(message):
    """Return the bytes of a message that wants no answer."""
    return _wire_bytes(message)


def request_bytes(question, answer):
    """Return the bytes of a question and its answer."""
    return _wire_bytes(
        messages.Request(1_000_000, codec.encode(question))
    ) + _wire_bytes(messages.Response(1_000_000, codec.encode(answer)))


def _wire_bytes(message):
    body = len(codec.encode(message))
    return body + target.FRAME_BYTES + target.PACKET_HEADER_BYTES
