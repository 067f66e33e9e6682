"""Finds free ports on the loopback interface."""

import contextlib
import socket

LOOPBACK = '127.0.0.1'


def free_ports(count):
    """Return distinct port numbers that nothing listens on."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname()[1] for sock in sockets]
