"""The ends of a tunnel, as asyncio protocols.

From the entry process that dialled, a tunnel carries the bytes of the
connection as they are. In the other direction they come in chunks with a
length. A chunk without bytes says that the server closed its connection, and
a length that no chunk has says that it reset it. The end of a tunnel alone
says neither, so that a relay that dies cannot make an answer look complete,
and does not count as a failure of the server.
"""

import asyncio
import socket
import struct

from bulrushrudder.core import path_errors
from bulrushrudder.utils import sockets

MAX_BUFFERED_BYTES = 16 * 1024
_LENGTH = struct.Struct('>I')
_END = _LENGTH.pack(0)
# A process of an earlier version waits for the bytes of this chunk, and
# takes the end of the tunnel, which follows, for a break.
_RESET_LENGTH = 2**32 - 1
_RESET = _LENGTH.pack(_RESET_LENGTH)
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class DialledEnd(asyncio.Protocol):
    """The end at the process that uses the connection to the server.

    :param connection: the asyncio BufferedProtocol of that connection.
    """

    def __init__(self, connection):
        self._connection = connection
        self._transport = None
        self._pending = bytearray()
        self._chunk_left = 0
        self._ended = False
        self._server_reset = False

    def take_over(self, transport, data):
        """Use a transport whose tunnel has been opened.

        :param transport: the asyncio transport.
        :param data: bytes that arrived right behind TunnelOpened.
        """
        self._transport = transport
        transport.set_protocol(self)
        self._connection.connection_made(transport)
        if data:
            self.data_received(data)

    def data_received(self, data):
        """Pass the bytes of chunks on to the connection."""
        self._pending += data
        while self._pending and not self._transport.is_closing():
            if self._chunk_left:
                part = self._pending[: self._chunk_left]
                del self._pending[: len(part)]
                self._chunk_left -= len(part)
                self._feed(part)
                continue
            if len(self._pending) < _LENGTH.size:
                return
            (self._chunk_left,) = _LENGTH.unpack_from(self._pending)
            del self._pending[: _LENGTH.size]
            match self._chunk_left:
                case 0:
                    self._end()
                    return
                case length if length == _RESET_LENGTH:
                    self._server_reset = True
                    self._transport.abort()
                    return

    def eof_received(self):
        """Close the transport."""
        return False

    def connection_lost(self, error):
        """Report the end of the tunnel to the connection."""
        if self._server_reset:
            error = ConnectionResetError('the server reset its connection')
        elif not self._ended:
            error = path_errors.TunnelBrokeError(
                repr(error) if error else 'the tunnel broke'
            )
        self._connection.connection_lost(error)

    def _feed(self, data):
        with memoryview(data) as view:
            start = 0
            while start < len(view) and not self._transport.is_closing():
                buffer = self._connection.get_buffer(len(view) - start)
                size = min(len(buffer), len(view) - start)
                buffer[:size] = view[start : start + size]
                self._connection.buffer_updated(size)
                start += size

    def _end(self):
        self._ended = True
        self._connection.eof_received()
        self._transport.close()


class ServerEnd(asyncio.Protocol):
    """The connection of a relay to the backend server.

    It reads nothing before it belongs to a Tunnel.
    """

    def __init__(self):
        self.transport = None
        self.tunnel = None
        self._path_watch = None

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport
        self._path_watch = sockets.PathWatch(
            transport.get_extra_info('socket')
        )
        transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)
        transport.pause_reading()

    def send(self, data):
        """Write bytes to the server."""
        if not self.transport.is_closing():
            self._path_watch.sent(len(data))
            self.transport.write(data)

    def data_received(self, data):
        """Send a chunk to the process that dialled."""
        self._path_watch.received()
        self.tunnel.to_dialler(data)

    def eof_received(self):
        """Close the transport, whose tunnel may already end as broken."""
        if self.tunnel is not None:
            self.tunnel.server_closes()

    def connection_lost(self, error):
        """End the tunnel as the server has ended its connection."""
        if self.tunnel is not None:
            self.tunnel.server_lost(error)

    def pause_writing(self):
        """Read no more from the process that dialled."""
        self.tunnel.accepted.transport.pause_reading()

    def resume_writing(self):
        """Read on from the process that dialled."""
        self.tunnel.accepted.resume_reading()


class AcceptedEnd(asyncio.Protocol):
    """The connection of a relay to the process that dialled it.

    :param transport: its transport.
    :param tunnel: the Tunnel.
    """

    def __init__(self, transport, tunnel):
        self.transport = transport
        self._tunnel = tunnel

    def data_received(self, data):
        """Pass bytes on to the server."""
        self._tunnel.to_server(data)

    def eof_received(self):
        """End the tunnel: who dialled closes only what it gives up."""
        self.transport.abort()
        return True

    def connection_lost(self, error):
        """End the server's connection at once."""
        self._tunnel.dialler_lost()

    def pause_writing(self):
        """Read no more from the server."""
        self._tunnel.pause_server()

    def resume_writing(self):
        """Read on from the server."""
        self._tunnel.resume_server()

    def resume_reading(self):
        """Read on, unless the connection is closed."""
        if not self.transport.is_closing():
            self.transport.resume_reading()


class Tunnel:
    """Copies bytes between a process that dialled and a backend server.

    :param transport: the accepted transport.
    :param server_end: the ServerEnd, connected.
    :ivar ended: event that is set once both connections have ended.
    :ivar size: number of bytes copied.
    """

    def __init__(self, transport, server_end):
        self.accepted = AcceptedEnd(transport, self)
        self.ended = asyncio.Event()
        self.size = 0
        self._server = server_end
        self._open_ends = 2

    def begin(self, data):
        """Begin to copy.

        :param data: bytes for the server that have already been read.
        """
        transport = self.accepted.transport
        sockets.allow_slow_reader(transport.get_extra_info('socket'))
        transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)
        transport.set_protocol(self.accepted)
        self._server.tunnel = self
        if self._server.transport.is_closing():
            self._open_ends -= 1
            _reset(transport)
            return
        if data:
            self.to_server(data)
        if transport.is_closing():
            self._server.transport.abort()
        self.resume_server()

    def to_server(self, data):
        """Write bytes to the server."""
        self.size += len(data)
        self._server.send(data)

    def to_dialler(self, data):
        """Write a chunk to the process that dialled."""
        transport = self.accepted.transport
        self.size += len(data)
        if not transport.is_closing():
            transport.write(_LENGTH.pack(len(data)))
            transport.write(data)

    def pause_server(self):
        """Read no more from the server."""
        self._server.transport.pause_reading()

    def resume_server(self):
        """Read on from the server, unless its connection is closed."""
        if not self._server.transport.is_closing():
            self._server.transport.resume_reading()

    def server_closes(self):
        """Pass on a reset if the server has not received all bytes.

        A clean end would make what it has sent look like a whole answer,
        although it has answered before it had the call.
        """
        accepted = self.accepted.transport
        if sockets.unsent_bytes(self._server.transport) or (
            sockets.unread_bytes(accepted)
        ):
            _finish(accepted, _RESET)
            self._server.transport.abort()

    def server_lost(self, error):
        """Pass on the end of the server's connection."""
        transport = self.accepted.transport
        match error:
            case None:
                _finish(transport, _END)
            case ConnectionResetError() | BrokenPipeError():
                _finish(transport, _RESET)
            case _:
                # The path of this VM to the server may be lost.
                _reset(transport)
        self._count_end()

    def dialler_lost(self):
        """End the connection to the server."""
        self._server.transport.abort()
        self._count_end()

    def abort(self):
        """End both connections at once."""
        _reset(self.accepted.transport)
        self._server.transport.abort()

    def _count_end(self):
        self._open_ends -= 1
        if self._open_ends <= 0:
            self.ended.set()


def _finish(transport, mark):
    """Close a transport behind a mark of how the server ended."""
    if not transport.is_closing():
        transport.write(mark)
        transport.close()


def _reset(transport):
    """Close a transport so that its peer does not take it for a clean end."""
    sock = transport.get_extra_info('socket')
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
    transport.abort()
