"""Sockets with keepalive and with limited buffers."""

import socket

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
# Limits the unread part of an answer in the kernel. Otherwise the buffer
# grows to some megabytes, and a slow caller causes no backpressure on the
# backend server.
RECEIVE_BUFFER_BYTES = 64 * 1024


def enable_keepalive(sock):
    """Make the kernel close a TCP connection whose peer is silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def watch_path(sock):
    """Make the kernel close a connection whose path is lost."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PATH_KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PATH_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, PATH_TIMEOUT_MS)


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


def limit_send_buffer(transport, max_bytes):
    """Limit the send buffers of a transport and of its socket."""
    transport.set_write_buffer_limits(high=max_bytes)
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, max_bytes)
