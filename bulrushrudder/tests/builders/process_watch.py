"""What a process holds, as the operating system counts it."""

import asyncio
import pathlib
import re
import socket
import struct

MIB = 1024 * 1024
LOOK_INTERVAL_S = 0.02
_SOCKET = re.compile(r'socket:\[(\d+)\]')
_LISTENS = '0A'


class ProcessWatch:
    """Records the most memory and descriptors that a process had.

    Bytes that have arrived at its sockets count as memory, as do those of
    connections that it has not accepted yet.

    :param pid: its id.
    :ivar most_fds: number of descriptors.
    :ivar most_unread_mb: bytes that have arrived and are not read, in MiB.
    """

    def __init__(self, pid):
        self._folder = pathlib.Path(f'/proc/{pid}')
        self._most_sampled_mb = 0.0
        self.most_fds = 0
        self.most_unread_mb = 0.0

    @property
    def peak_mb(self):
        """Return the most memory that the process had, in MiB."""
        return max(self._most_sampled_mb, self._status('VmHWM'))

    async def look(self, for_s):
        """Watch the process for some seconds."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        while loop.time() < until_s:
            self._sample()
            await asyncio.sleep(LOOK_INTERVAL_S)

    async def look_while(self, task):
        """Watch the process until a task has ended."""
        while not task.done():
            self._sample()
            await asyncio.wait({task}, timeout=LOOK_INTERVAL_S)
        await task

    def _sample(self):
        links = self._links()
        self.most_fds = max(self.most_fds, len(links))
        unread_mb = self._unread_bytes(links) / MIB
        self.most_unread_mb = max(self.most_unread_mb, unread_mb)
        self._most_sampled_mb = max(
            self._most_sampled_mb, self._status('VmRSS') + unread_mb
        )

    def _links(self):
        """Return what the descriptors of the process lead to."""
        links = []
        for descriptor in (self._folder / 'fd').iterdir():
            try:
                links.append(str(descriptor.readlink()))
            except FileNotFoundError:
                continue
        return links

    def _unread_bytes(self, links):
        inodes = {
            match.group(1) for match in map(_SOCKET.match, links) if match
        }
        rows = [
            line.split()
            for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()
        ][1:]
        listening = {
            row[1] for row in rows if row[3] == _LISTENS and row[9] in inodes
        }
        return sum(
            int(row[4].partition(':')[2], 16)
            for row in rows
            if row[3] != _LISTENS
            and (row[9] in inodes or (row[9] == '0' and row[1] in listening))
        )

    def _status(self, name):
        """Return a size of the status file in MiB."""
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith(f'{name}:'):
                return int(line.split()[1]) / 1024
        raise AssertionError(f'no {name}')


def close_with_reset(sock):
    """Close a socket so that its peer sees a reset."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    sock.close()
