"""A link that can be cut for some time, as a proxy on loopback.

While it is cut, bytes are held up on their way. Once it has healed, bytes
on new connections pass at once, and those held up follow later, as TCP
sends them again with growing pauses.
"""

import asyncio
import contextlib

# The pauses between retransmissions double; after a cut of some seconds
# the next one is due within this time.
HELD_UP_S = 1.5


class Link:
    """The link to one address, in one direction cut or not.

    :ivar address: where to connect instead.
    """

    def __init__(self, target):
        self._target = target
        self._healed = asyncio.Event()
        self._healed.set()
        self._tasks = set()
        self.address = None

    async def start(self, stack):
        """Listen until the exit stack closes."""
        listener = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        stack.callback(listener.close)
        stack.callback(self._cancel)
        self.address = listener.sockets[0].getsockname()[:2]
        return self

    def cut(self):
        """Hold up all bytes from now on."""
        self._healed.clear()

    def heal(self):
        """Let bytes pass again."""
        self._healed.set()

    async def _serve(self, reader, writer):
        task = asyncio.create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer):
        opened = None
        try:
            request = await self._read(reader)
            if not self._healed.is_set():
                await self._healed.wait()
                await asyncio.sleep(HELD_UP_S)
            answering, opened = await asyncio.open_connection(*self._target)
            opened.write(request)
            answer = await answering.read()
            with contextlib.suppress(OSError):
                writer.write(answer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for end in (writer, opened):
                if end is not None:
                    end.close()

    async def _read(self, reader):
        """Read one request, which closes its connection afterwards."""
        head = await reader.readuntil(b'\r\n\r\n')
        length = 0
        for line in head.decode().split('\r\n'):
            if line.lower().startswith('content-length:'):
                length = int(line.partition(':')[2])
        return head + await reader.readexactly(length)

    def _cancel(self):
        for task in self._tasks:
            task.cancel()
