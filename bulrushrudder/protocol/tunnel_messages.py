"""Messages that open a tunnel to a backend server through another VM."""

import dataclasses

from bulrushrudder.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class OpenTunnel:
    """Asks an entry process to connect its sender to a backend server.

    It is the first message on a link of its own. After TunnelOpened, the
    link carries the bytes of the connection.

    :param server: the server in the view of the receiver; messages name
        no addresses.
    """

    server: ids.ServerId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelOpened:
    """Response to OpenTunnel: the server has accepted the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelRefused:
    """Response to OpenTunnel: nothing was sent to the server.

    :param reason: number of a lifecycle paths RelayProblem.
    :param reaches_others: whether the sender connected to another server
        right after it had failed to connect to this one.
    """

    reason: int
    reaches_others: bool = False
