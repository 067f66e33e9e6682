"""Faults inside a program that Python starts with this folder.

SOAK_SYNC_S: seconds that each sync takes beyond the usual.
SOAK_HOST: the address from which connections to servers come.
SOAK_DETOUR: a file; while it names an address, new connections to servers
go there instead.
"""

import os
import pathlib
import socket
import time

SERVERS_HOST = '127.0.0.1'
# Linux has it, Python 3.11 does not name it.
IP_BIND_ADDRESS_NO_PORT = 24
_connect = socket.socket.connect


def _slowed(sync, for_s):
    """Return a sync that takes some seconds more."""

    def call(descriptor):
        time.sleep(for_s)
        return sync(descriptor)

    return call


def _connect_by_detour(self, address):
    """Connect to an address, or to the one that the file names."""
    file = pathlib.Path(os.environ['SOAK_DETOUR'])
    if address[0] != SERVERS_HOST:
        return _connect(self, address)
    self.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
    self.bind((os.environ['SOAK_HOST'], 0))
    if file.exists():
        host, _, port = file.read_text().partition(':')
        address = host, int(port)
    return _connect(self, address)


if 'SOAK_SYNC_S' in os.environ:
    os.fsync = _slowed(os.fsync, float(os.environ['SOAK_SYNC_S']))
    os.fdatasync = _slowed(os.fdatasync, float(os.environ['SOAK_SYNC_S']))
if 'SOAK_DETOUR' in os.environ:
    socket.socket.connect = _connect_by_detour
