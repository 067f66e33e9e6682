"""A TCP relay that counts bytes."""

import asyncio
import contextlib

from bulrushrudder.config import settings
from bulrushrudder.utils import ports

CHUNK_BYTES = 64 * 1024


class Relay:
    """Forwards TCP connections to an address.

    :ivar address: the address on which it listens.
    :ivar byte_count: bytes forwarded in both directions.
    """

    def __init__(self, target):
        self._target_address = target
        self.address = None
        self.byte_count = 0

    async def start(self, stack):
        """Listen until the stack closes."""
        server = await asyncio.start_server(self._accept, ports.LOOPBACK, 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = settings.Address(ports.LOOPBACK, port)

    async def _accept(self, reader, writer):
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                self._target_address.host, self._target_address.port
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, target_writer))
                group.create_task(self._pump(target_reader, writer))

    async def _pump(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                self.byte_count += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()
