"""Proxies before servers, which know the machine of each connection."""

import asyncio
import contextlib
import socket
import struct

PIECE = 65536
# Closes a socket with a reset.
NO_LINGER = struct.pack('ii', 1, 0)


class Gate:
    """A proxy before one server.

    :param fleet: the Fleet, whose entries connect.
    :param cuts: the Cuts, which say who is cut off from servers.
    """

    def __init__(self, fleet, cuts):
        self._fleet = fleet
        self._cuts = cuts
        self._listener = None
        self._target = None
        self._tasks = set()

    async def open(self, target):
        """Pass connections on to a server.

        :param target: the address and port of the server.
        :returns: the address and port at which the proxy listens.
        """
        self._target = target
        if self._listener is None:
            self._listener = await asyncio.start_server(
                self._serve, '127.0.0.1', 0
            )
        return self._listener.sockets[0].getsockname()[:2]

    async def close(self):
        """Close all connections, and take no more."""
        if self._listener is not None:
            self._listener.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        name = self._name_of(writer.get_extra_info('peername'))
        ends = [writer]
        task = asyncio.current_task()
        self._tasks.add(task)
        self._cuts.add_connection(name, writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._target
            )
            ends.append(server_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(name, reader, server_writer))
                group.create_task(self._pump(name, server_reader, writer))
        except* OSError:
            pass
        finally:
            self._tasks.discard(task)
            self._cuts.remove_connection(name, writer)
            for end in ends:
                end.transport.abort()

    async def _pump(self, name, reader, writer):
        """Pass bytes on until an end closes; the other one closes then."""
        while data := await reader.read(PIECE):
            await self._cuts.wait_for_path(name)
            writer.write(data)
            await writer.drain()
        await self._cuts.wait_for_path(name)
        raise ConnectionResetError

    def _name_of(self, address):
        """Return the name of the entry at an address, or an empty one."""
        names = [m.name for m in self._fleet.edges if m.ip == address[0]]
        return names[0] if names else ''


def reset(writer):
    """Reset a connection."""
    opened = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
