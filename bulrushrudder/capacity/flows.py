"""Traffic of messages, in bytes on the wire."""

import dataclasses

from bulrushrudder.capacity import target
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """A kind of message that a node exchanges with the rest of the fleet.

    :param role: the role that causes the message.
    :param size: size of one message in a packet of its own, in bytes.
    :param per_s: messages per second at one node, sent and received.
    :param mechanism: how the message is sent, and whether this is
        implemented or planned.
    """

    role: str
    name: str
    size: int
    per_s: float
    mechanism: str

    @property
    def bytes_per_s(self):
        """Return the traffic at one node, in bytes per second."""
        return self.size * self.per_s


def message_bytes(message):
    """Return the size of a one-way message, in bytes."""
    return _wire_bytes(message)


def request_bytes(question, answer):
    """Return the size of a request and its response, in bytes."""
    return _wire_bytes(
        messages.Request(1_000_000, codec.encode(question))
    ) + _wire_bytes(messages.Response(1_000_000, codec.encode(answer)))


def _wire_bytes(message):
    body = len(codec.encode(message))
    return body + target.FRAME_BYTES + target.PACKET_HEADER_BYTES
