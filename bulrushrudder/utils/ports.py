"""Finds free ports on the loopback interface."""

import contextlib
import itertools
import pathlib
import random
import socket

LOOPBACK = '127.0.0.1'
FIRST_PORT = 10_000
# The kernel gives the ports from here on to outgoing connections.
DEFAULT_EPHEMERAL_PORT = 32_768
RANGE_FILE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')


def free_ports(count):
    """Return distinct port numbers that nothing listens on.

    They are free until somebody uses them. The kernel gives none of them to
    another socket, and this process returns them again only once it has
    returned all others.

    :raises OSError: if there are not enough.
    """
    found = []
    with contextlib.ExitStack() as stack:
        for port in itertools.islice(_ports, len(_RANGE)):
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind((LOOPBACK, port))
                found.append(port)
            if len(found) == count:
                return found
    raise OSError(f'fewer than {count} ports are free')


def _range():
    """Return the ports that the kernel does not give to connections."""
    end = DEFAULT_EPHEMERAL_PORT
    with contextlib.suppress(OSError):
        end = int(RANGE_FILE.read_text().split()[0])
    return range(FIRST_PORT, max(end, FIRST_PORT + 1))


def _from_random_start(ports):
    """Return an endless iterator over ports in their order."""
    start = random.SystemRandom().randrange(len(ports))
    return itertools.cycle((*ports[start:], *ports[:start]))


_RANGE = _range()
# Processes that run beside each other rarely meet.
_ports = _from_random_start(_RANGE)
