"""The paths of one VM to backend servers, which a test cuts and heals."""

import asyncio
import dataclasses
import enum

from bulrushrudder.engines import network
from bulrushrudder.tests.builders import scripted_engines
from bulrushrudder.utils import timeouts


class New(enum.Enum):
    """What becomes of connections that are opened during a cut."""

    REFUSED = 'refused'
    HANGING = 'hanging'
    RESET = 'reset'


class Old(enum.Enum):
    """What becomes of connections that exist when a cut begins."""

    ALIVE = 'alive'
    RESET = 'reset'
    SILENT = 'silent'
    ANSWERS_LOST = 'answers lost'
    REQUESTS_LOST = 'requests lost'


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A cut of the paths to servers.

    :param servers: ids of the servers; all if it is empty.
    """

    new: New
    old: Old
    servers: frozenset[str] = frozenset()

    def covers(self, server):
        """Return whether the path to a server is cut."""
        return not self.servers or server.id in self.servers


REFUSED = Cut(New.REFUSED, Old.RESET)
HANGING = Cut(New.HANGING, Old.SILENT)
RESET = Cut(New.RESET, Old.RESET)
OLD_ALIVE = Cut(New.REFUSED, Old.ALIVE)
ANSWERS_LOST = Cut(New.HANGING, Old.ANSWERS_LOST)
REQUESTS_LOST = Cut(New.HANGING, Old.REQUESTS_LOST)


CUTS = {
    'refused': REFUSED,
    'hanging': HANGING,
    'reset': RESET,
    'old alive': OLD_ALIVE,
    'answers lost': ANSWERS_LOST,
    'requests lost': REQUESTS_LOST,
}


class CuttableNetwork(network.DirectNetwork):
    """Connects to servers directly, unless their paths are cut.

    :ivar opened: number of connections that it has established.
    :ivar sent_bytes: bytes that its connections have sent.
    """

    def __init__(self):
        super().__init__()
        self.opened = 0
        self.sent_bytes = 0
        self._cut = None
        self._paths = []
        self._resetting = None

    async def start(self, stack):
        """Prepare cuts; close what remains when the exit stack closes."""
        self._resetting = await asyncio.start_server(
            lambda _, writer: scripted_engines.reset(writer), '127.0.0.1', 0
        )
        stack.callback(self._resetting.close)
        stack.callback(self._close)
        return self

    def cut(self, cut):
        """Cut the paths of a Cut, instead of an earlier one."""
        self._cut = cut
        for path in tuple(self._paths):
            if cut.covers(path.server):
                path.cut(cut.old)

    def heal(self):
        """Let new connections through; what was cut stays cut."""
        self._cut = None

    async def open(self, server, protocol_factory):
        """Open a connection, as a DirectNetwork does."""
        if self._cut is not None and self._cut.covers(server):
            return await self._open_on_cut(protocol_factory)
        protocol = protocol_factory()
        path = await super().open(
            server, lambda: _Path(self, server, protocol)
        )
        self.opened += 1
        self._paths.append(path)
        return protocol

    def count(self, size):
        """Count bytes that a connection has sent."""
        self.sent_bytes += size

    def forget(self, path):
        """Forget a connection that has ended."""
        if path in self._paths:
            self._paths.remove(path)

    async def _open_on_cut(self, protocol_factory):
        """Open a connection that ends at the cut.

        :raises OSError: if connections are refused.
        :raises TimeoutError: if they hang.
        """
        loop = asyncio.get_running_loop()
        match self._cut.new:
            case New.REFUSED:
                raise ConnectionRefusedError('the path is cut')
            case New.HANGING:
                async with timeouts.RunningTimeout(network.CONNECT_TIMEOUT_S):
                    await loop.create_future()
        host, port = self._resetting.sockets[0].getsockname()[:2]
        _, protocol = await loop.create_connection(
            protocol_factory, host, port
        )
        return protocol

    def _close(self):
        for path in tuple(self._paths):
            path.close()


class _Path(asyncio.Protocol):
    """A connection to a server, between its transport and its protocol.

    :param network_: the CuttableNetwork.
    :param server: the BackendServer.
    :param protocol: the protocol that uses the connection.
    """

    def __init__(self, network_, server, protocol):
        self.server = server
        self._network = network_
        self._protocol = protocol
        self._transport = None
        self._sends = True
        self._receives = True

    @property
    def ended(self):
        """Return whether the protocol has no connection any more."""
        return self._protocol is None

    def cut(self, old):
        """Do what a cut does to a connection that exists."""
        match old:
            case Old.RESET:
                self._end(ConnectionResetError('the path is cut'))
                self._transport.abort()
            case Old.SILENT:
                self._sends = self._receives = False
            case Old.ANSWERS_LOST:
                self._receives = False
            case Old.REQUESTS_LOST:
                self._sends = False

    def close(self):
        """Close the connection to the server."""
        self._transport.abort()

    def send(self, data):
        """Send data, unless the path is cut."""
        if self._sends:
            self._network.count(len(data))
            self._transport.write(data)

    def abort(self):
        """Close the connection; a server behind a cut does not see it."""
        self._end(None)
        if self._sends:
            self._transport.abort()

    def _end(self, error):
        protocol, self._protocol = self._protocol, None
        if protocol is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(protocol.connection_lost, error)

    # Called by the transport.

    def connection_made(self, transport):
        """Give the protocol a transport that the network can cut."""
        self._transport = transport
        self._protocol.connection_made(_Transport(self, transport))

    def data_received(self, data):
        """Pass data on, unless the path is cut."""
        if not self._receives:
            return
        while data and self._protocol is not None:
            data = data[_feed(self._protocol, data) :]

    def eof_received(self):
        """Pass the end of the server's data on, unless the path is cut."""
        if self._receives and self._protocol is not None:
            return self._protocol.eof_received()
        return not self._receives

    def connection_lost(self, error):
        """Pass the end on, unless the path is cut."""
        self._network.forget(self)
        if self._receives:
            self._end(error)

    def pause_writing(self):
        """Pass the stop of the flow on."""
        if self._protocol is not None:
            self._protocol.pause_writing()

    def resume_writing(self):
        """Pass the start of the flow on."""
        if self._protocol is not None:
            self._protocol.resume_writing()


class _Transport:
    """The transport of a connection, whose path can be cut."""

    def __init__(self, path, transport):
        self._path = path
        self._transport = transport

    def write(self, data):
        """Send data."""
        self._path.send(data)

    def writelines(self, pieces):
        """Send some pieces of data."""
        self._path.send(b''.join(pieces))

    def abort(self):
        """Close the connection."""
        self._path.abort()

    def close(self):
        """Close the connection once what was written is sent."""
        if self._transport.get_write_buffer_size():
            self._transport.close()
        else:
            self._path.abort()

    def is_closing(self):
        """Return whether the connection has ended."""
        return self._path.ended

    def __getattr__(self, name):
        return getattr(self._transport, name)


def _feed(protocol, data):
    """Give data to a protocol; return how many bytes it has taken."""
    if not isinstance(protocol, asyncio.BufferedProtocol):
        protocol.data_received(data)
        return len(data)
    buffer = protocol.get_buffer(len(data))
    size = min(len(buffer), len(data))
    buffer[:size] = data[:size]
    protocol.buffer_updated(size)
    return size
