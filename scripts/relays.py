"""TCP relays that can stop forwarding."""

import asyncio
import contextlib

from bulrushrudder.utils import ports

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections to an address, unless it is cut.

    :param target: host and port of the address.
    :ivar address: host and port that the relay listens on.
    """

    def __init__(self, target):
        self._target = target
        self.address = {
            'host': ports.LOOPBACK,
            'port': ports.free_ports(1)[0],
        }
        self._forwarding = asyncio.Event()
        self._forwarding.set()
        self._silent_tasks = set()
        self._tasks = set()

    async def start(self, stack):
        """Listen until the exit stack closes."""
        server = await asyncio.start_server(
            self._accept, self.address['host'], self.address['port']
        )
        stack.callback(server.close)
        stack.callback(self._cancel)

    def cut(self):
        """Pause forwarding on open and new connections."""
        self._forwarding.clear()

    def heal(self):
        """Resume forwarding."""
        self._forwarding.set()

    def silence_open(self):
        """Stop forwarding forever on the connections that are open now."""
        self._silent_tasks |= self._tasks

    def _cancel(self):
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            target_reader, target_writer = await asyncio.open_connection(
                self._target['host'], self._target['port']
            )
            async with asyncio.TaskGroup() as group:
                for source, sink in (
                    (reader, target_writer),
                    (target_reader, writer),
                ):
                    task = group.create_task(self._forward(source, sink))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    async def _forward(self, source, sink):
        try:
            while data := await source.read(CHUNK_BYTES):
                await self._forwarding.wait()
                if asyncio.current_task() in self._silent_tasks:
                    await asyncio.Event().wait()
                sink.write(data)
                await sink.drain()
        except OSError:
            return
        finally:
            sink.close()
