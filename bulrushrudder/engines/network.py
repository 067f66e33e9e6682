"""Opens connections to backend servers."""

from bulrushrudder.utils import sockets
from bulrushrudder.utils import timeouts

# Many round trips between zones. TCP retransmits a lost SYN only after
# 1 s, so a new connection is faster.
CONNECT_TIMEOUT_S = 0.35


class DirectNetwork:
    """Connects to backend servers from this VM.

    :param connect_timeout_s: seconds until a connection must be open.
    """

    def __init__(self, connect_timeout_s=CONNECT_TIMEOUT_S):
        self._connect_timeout_s = connect_timeout_s

    async def open(self, server, protocol_factory):
        """Open a connection.

        :param server: the BackendServer.
        :param protocol_factory: function that returns the asyncio protocol
            of the connection.
        :returns: the protocol.
        :raises OSError: if the server cannot be reached.
        :raises TimeoutError: if it does not react in time.
        """
        async with timeouts.RunningTimeout(self._connect_timeout_s):
            _, protocol = await sockets.connect(
                protocol_factory, server.host, server.port
            )
        return protocol

    def may_reuse(self, server, connection):
        """Return whether an idle connection may carry a call."""
        return True

    def may_send(self, server):
        """Return whether a server may be sent a request now."""
        return True

    def call_ended(self, server, connection):
        """Ignore that a call on a connection has ended."""
