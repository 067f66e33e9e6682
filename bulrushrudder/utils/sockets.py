"""Socket options that find connections which have gone silent."""

import socket

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MS = 10_000
# What the kernel keeps of an answer that is not read yet; without a bound
# it grows to some megabytes, and a caller who does not read never holds
# up the server behind.
RECEIVED_BYTES = 64 * 1024


def watch(found):
    """Have the kernel end a TCP connection whose peer is silent."""
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    found.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    found.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    found.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    found.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def dialling(address_info):
    """Return a watched socket for an outgoing connection.

    :param address_info: an entry as getaddrinfo returns it.
    """
    family, kind, protocol, _, _ = address_info
    found = socket.socket(family, kind, protocol)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVED_BYTES)
    found.setblocking(False)
    watch(found)
    return found


def listening(host, port):
    """Return a bound socket whose accepted connections are watched."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    found = socket.socket(family, socket.SOCK_STREAM)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    watch(found)
    found.bind((host, port))
    return found


def bound_unsent(transport, most_bytes):
    """Bound what a transport and the kernel keep for a slow reader."""
    transport.set_write_buffer_limits(high=most_bytes)
    found = transport.get_extra_info('socket')
    if found is not None:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, most_bytes)
