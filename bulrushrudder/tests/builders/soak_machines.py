"""Builders of machines of the soak that answer as told."""

import asyncio
import contextlib
import dataclasses
import random

from bulrushrudder.tests.soak import http
from bulrushrudder.tests.soak import record


@dataclasses.dataclass
class Machine:
    """A machine at which clients connect.

    :ivar got: requests, each the headers and the body.
    """

    listener: asyncio.Server
    process: str = 'edge-1/1'
    got: list = dataclasses.field(default_factory=list)

    def address(self, port_name):
        """Return the address and port of the listener."""
        return self.listener.sockets[0].getsockname()[:2]


@dataclasses.dataclass
class Fleet:
    """A fleet of machines."""

    edges: list
    record: record.Record


class Dice(random.Random):
    """Draws that make all clients alike.

    :param share: what random() returns.
    """

    def __init__(self, share):
        super().__init__(1)
        self._share = share

    def random(self):
        """Return the share."""
        return self._share


@contextlib.asynccontextmanager
async def running(answer, file):
    """Run one machine.

    :param answer: async function of the reader, the writer and the number
        of the request on its connection; returns whether to go on.
    :param file: the text file of the record.
    :returns: a context manager that returns the Fleet.
    """

    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        number = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                _, headers = await http.read_head(reader)
                body = b''.join(
                    [piece async for piece in http.read_body(reader, headers)]
                )
                machine.got.append((headers, body))
                if not await answer(writer, number):
                    break
                number += 1
        writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    machine = Machine(listener)
    async with listener:
        yield Fleet([machine], record.Record(file))
        for writer in writers:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
