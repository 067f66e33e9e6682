"""A TCP relay with the rate of a narrow link."""

import asyncio
import contextlib

from bulrushrudder.config import settings
from bulrushrudder.utils import ports

PIECE_BYTES = 16 * 1024


class SlowRelay:
    """Forwards TCP connections to an address.

    :param target: the Address.
    :param rate: bytes a second from the target to each of its clients.
    :ivar address: the address on which it listens.
    :ivar connections: number of connections accepted.
    """

    def __init__(self, target, rate):
        self._target_address = target
        self._rate = rate
        self.address = None
        self.connections = 0

    async def start(self, stack):
        """Listen until the stack closes."""
        server = await asyncio.start_server(self._accept, ports.LOOPBACK, 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = settings.Address(ports.LOOPBACK, port)
        return self

    async def _accept(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                self._target_address.host, self._target_address.port
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, target_writer, 0.0))
                group.create_task(
                    self._pump(target_reader, writer, 1.0 / self._rate)
                )

    async def _pump(self, reader, writer, seconds_per_byte):
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE_BYTES):
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(len(data) * seconds_per_byte)
        writer.close()
