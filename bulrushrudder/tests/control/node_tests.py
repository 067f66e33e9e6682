import asyncio
import contextlib
import dataclasses
import errno
import os
import pathlib
import tempfile
import time
import unittest

from bulrushrudder.consensus import core
from bulrushrudder.consensus import replica
from bulrushrudder.control import node
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.storage import folder
from bulrushrudder.storage import store
from bulrushrudder.tests.builders import fleet
from bulrushrudder.utils import tasks

ADDRESS = '127.0.0.1:1'
LARGE = 2 * 1024 * 1024


@dataclasses.dataclass
class Disk:
    """A disk that may be full, or fail to sync."""

    full: bool = False
    broken: bool = False

    def allocate(self, descriptor, offset, size):
        if self.full:
            raise OSError(errno.ENOSPC, 'full on purpose')
        os.posix_fallocate(descriptor, offset, size)

    def sync_data(self, descriptor):
        if self.broken:
            raise OSError(errno.EIO, 'broken on purpose')

    def calls(self):
        return folder.Calls(sync_data=self.sync_data, allocate=self.allocate)


def join(number, size=1):
    serves = ('x' * size,)
    return servers.JoinServer(fleet.server(f's{number}', serves=serves))


class NodeTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.path = pathlib.Path(made.name)
        self.disk = Disk()
        self.failed = asyncio.Event()

    @contextlib.asynccontextmanager
    async def started(self):
        async with contextlib.AsyncExitStack() as stack:
            opened = store.open_store(stack, self.path, self.disk.calls())
            found = opened.unwrap()
            identity = core.Identity(found.id, ADDRESS, (ADDRESS,))
            member = replica.Replica(
                identity, found.durable, lambda: 0.0, time.monotonic()
            )
            made = node.Node(
                member, found.store, None, str, lambda: None, self.failed.set
            )
            tasks.spawn(stack, made.run())
            yield made

    async def test_restart_finds_the_state(self):
        async with self.started() as found:
            outcome = await found.propose(join(1))
            self.assertIsInstance(outcome, results.Accepted)
            before = found.state.snapshot().servers
        async with self.started() as found:
            self.assertIsNotNone(await found.read_index())
            self.assertEqual(found.state.snapshot().servers, before)

    async def test_full_disk_refuses_changes_and_serves_on(self):
        async with self.started() as found:
            await found.propose(join(1))
            self.disk.full = True
            refused = await found.propose(join(2, LARGE))
            self.assertEqual(refused, results.Unavailable(node.NO_ROOM))
            self.assertIsNotNone(await found.read_index())
            self.assertEqual(set(found.state.servers.by_id), {'s1'})
            self.disk.full = False
            outcome = await found.propose(join(2, LARGE))
            self.assertIsInstance(outcome, results.Accepted)

    async def test_failed_sync_answers_nobody_and_stops(self):
        async with self.started() as found:
            await found.propose(join(1))
            self.disk.broken = True
            proposed = asyncio.create_task(found.propose(join(2)))
            async with asyncio.timeout(5):
                await self.failed.wait()
            self.assertFalse(proposed.done())
            self.assertEqual(set(found.state.servers.by_id), {'s1'})
            await tasks.cancel(proposed)
