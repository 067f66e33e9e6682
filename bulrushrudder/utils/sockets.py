"""Sockets with keepalive and with limited buffers."""

import array
import asyncio
import contextlib
import fcntl
import ipaddress
import socket
import termios

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBE_COUNT = 3
UNACKNOWLEDGED_TIMEOUT_MS = 10_000
# On connections to backend servers. A server that is only silent goes on
# acknowledging; no acknowledgement for this time means a lost path. Linux
# lets keepalive probes give up by it too, whatever their number.
PATH_KEEPALIVE_IDLE_S = 2
PATH_KEEPALIVE_INTERVAL_S = 1
PATH_TIMEOUT_MS = 2_500
# Any receive buffer takes this much of a peer that reads nothing.
SMALL_RECEIVE_BUFFER_BYTES = 32 * 1024
# Longer than entry processes wait for a caller that takes nothing.
SLOW_READER_TIMEOUT_MS = 30_000
# Limits the unread part of an answer in the kernel. Otherwise the buffer
# grows to some megabytes, and a slow caller causes no backpressure on the
# backend server.
RECEIVE_BUFFER_BYTES = 64 * 1024
# The same on connections with a bounded share of the process's memory.
SERVER_BUFFER_BYTES = 16 * 1024


def enable_keepalive(sock):
    """Make the kernel close a TCP connection whose peer is silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


class PathWatch:
    """Lets the kernel close a connection whose path is lost.

    Linux applies its limit also to a peer that acknowledges and reads
    nothing, once more has been sent than its receive buffer holds. Such a
    peer gets the time of an ordinary connection.

    :param sock: the socket.
    """

    def __init__(self, sock):
        self._sock = sock
        self._unread_bytes = 0
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PATH_KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PATH_KEEPALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
        _limit_unacknowledged(sock, PATH_TIMEOUT_MS)

    def sent(self, size):
        """Record bytes that the peer may not have read."""
        before = self._unread_bytes
        self._unread_bytes += size
        if before <= SMALL_RECEIVE_BUFFER_BYTES < self._unread_bytes:
            _limit_unacknowledged(self._sock, UNACKNOWLEDGED_TIMEOUT_MS)

    def received(self):
        """Record that the peer has answered what was sent before."""
        if self._unread_bytes > SMALL_RECEIVE_BUFFER_BYTES:
            _limit_unacknowledged(self._sock, PATH_TIMEOUT_MS)
        self._unread_bytes = 0


def allow_slow_reader(sock):
    """Give a peer more time to read than the slowest caller has."""
    enable_keepalive(sock)
    _limit_unacknowledged(sock, SLOW_READER_TIMEOUT_MS)


def create_client_socket(address_info):
    """Return a socket with keepalive for an outgoing connection.

    :param address_info: an entry as returned by getaddrinfo.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


async def connect(protocol_factory, host, port):
    """Open a connection whose receive buffer is small.

    :param protocol_factory: function that returns its asyncio protocol.
    :param host: IP address, or a name, of which the first address is used.
    :returns: the transport and the protocol.
    :raises OSError: if it cannot be opened.
    """
    loop = asyncio.get_running_loop()
    try:
        is_ipv6 = ipaddress.ip_address(host).version == 6
        family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
    except ValueError:
        infos = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
        family, _, _, _, (host, *_) = infos[0]
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SERVER_BUFFER_BYTES
        )
        await loop.sock_connect(sock, (host, port))
        return await loop.create_connection(protocol_factory, sock=sock)
    except BaseException:
        sock.close()
        raise


def limit_send_buffer(transport, max_bytes):
    """Limit the send buffers of a transport and of its socket."""
    transport.set_write_buffer_limits(high=max_bytes)
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, max_bytes)


def unsent_bytes(transport):
    """Return how many bytes written to a transport have not arrived.

    They wait in the process, or the kernel of the peer has not acknowledged
    them. A peer that has read all of them has acknowledged them with
    whatever it sent afterwards.
    """
    return transport.get_write_buffer_size() + _queued(
        transport, termios.TIOCOUTQ
    )


def unread_bytes(transport):
    """Return how many bytes have arrived that a transport has not read."""
    return _queued(transport, termios.FIONREAD)


def _queued(transport, request):
    """Return the size of a queue of the kernel, 0 for a closed socket."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return 0
    size = array.array('i', [0])
    try:
        fcntl.ioctl(sock.fileno(), request, size)
    except OSError:
        return 0
    return size[0]


def _limit_unacknowledged(sock, timeout_ms):
    """Limit how long sent bytes may stay unacknowledged or unread."""
    with contextlib.suppress(OSError):
        # The connection may just have ended.
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )
