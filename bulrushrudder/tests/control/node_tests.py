import asyncio
import contextlib
import dataclasses
import errno
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from bulrushrudder.consensus import core
from bulrushrudder.consensus import replica
from bulrushrudder.control import compaction
from bulrushrudder.control import node
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.storage import folder
from bulrushrudder.storage import log_file
from bulrushrudder.storage import store
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import observers
from bulrushrudder.utils import tasks

ADDRESS = '127.0.0.1:1'
LARGE_BYTES = 2 * 1024 * 1024
CONFIGURATION_BYTES = 512 * 1024


@dataclasses.dataclass
class FakeDisk:
    """System calls of a disk that may be full or fail to sync.

    :ivar full_at_sync: whether a sync finds the disk full.
    """

    full: bool = False
    full_at_sync: bool = False
    broken: bool = False

    def allocate(self, descriptor, offset, size):
        if self.full:
            raise OSError(errno.ENOSPC, 'simulated full disk')
        os.posix_fallocate(descriptor, offset, size)

    def sync_data(self, descriptor):
        if self.full_at_sync:
            raise OSError(errno.ENOSPC, 'simulated full disk')
        if self.broken:
            raise OSError(errno.EIO, 'simulated broken disk')

    def calls(self):
        return folder.SystemCalls(
            sync_data=self.sync_data, allocate=self.allocate
        )


def join_command(number, size=1):
    serves = ('x' * size,)
    return servers.JoinServer(fleet.server(f's{number}', serves=serves))


class NodeTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        self.disk = FakeDisk()
        self.failed = asyncio.Event()

    @contextlib.asynccontextmanager
    async def running_node(self):
        async with contextlib.AsyncExitStack() as stack:
            opened = store.open_store(stack, self.path, self.disk.calls())
            data_folder = opened.unwrap()
            identity = core.Identity(data_folder.id, ADDRESS, (ADDRESS,))
            member = replica.Replica(
                identity,
                data_folder.durable,
                lambda: 0.0,
                asyncio.get_running_loop().time(),
            )
            running = node.Node(
                member,
                data_folder.store,
                None,
                str,
                lambda: None,
                self.failed.set,
            )
            tasks.spawn(stack, running.run())
            yield running

    async def test_restart_restores_state(self):
        async with self.running_node() as running:
            outcome = await running.propose(join_command(1))
            self.assertIsInstance(outcome, results.Accepted)
            before = running.state.snapshot().servers
        async with self.running_node() as running:
            self.assertIsNotNone(await running.read_index())
            self.assertEqual(running.state.snapshot().servers, before)

    async def test_full_disk_refuses_changes_but_confirms_reads(self):
        async with self.running_node() as running:
            await running.propose(join_command(1))
            self.disk.full = True
            refused = await running.propose(join_command(2, LARGE_BYTES))
            self.assertEqual(refused, results.Unavailable(node.NO_ROOM))
            self.assertIsNotNone(await running.read_index())
            self.assertEqual(set(running.state.servers.by_id), {'s1'})
            self.disk.full = False
            outcome = await running.propose(join_command(2, LARGE_BYTES))
            self.assertIsInstance(outcome, results.Accepted)

    async def test_failed_sync_stops_without_answer(self):
        async with self.running_node() as running:
            await running.propose(join_command(1))
            self.disk.broken = True
            proposed = asyncio.create_task(running.propose(join_command(2)))
            async with asyncio.timeout(5):
                await self.failed.wait()
            self.assertFalse(proposed.done())
            self.assertEqual(set(running.state.servers.by_id), {'s1'})
            await tasks.cancel(proposed)

    async def test_full_disk_at_sync_refuses_changes_until_it_has_space(self):
        async with self.running_node() as running:
            await running.propose(join_command(1))
            self.disk.full_at_sync = True
            first = asyncio.create_task(running.propose(join_command(2)))
            await asyncio.sleep(0.2)
            refused = await running.propose(join_command(3))
            self.assertEqual(refused, results.Unavailable(node.NO_ROOM))
            self.assertFalse(self.failed.is_set())
            self.assertFalse(first.done())
            self.disk.full_at_sync = False
            self.assertIsInstance(await first, results.Accepted)
            outcome = await running.propose(join_command(3))
            self.assertIsInstance(outcome, results.Accepted)
            present = set(running.state.servers.by_id)
        self.assertEqual(present, {'s1', 's2', 's3'})
        async with self.running_node() as running:
            self.assertIsNotNone(await running.read_index())
            self.assertEqual(set(running.state.servers.by_id), present)

    async def test_replaced_configurations_do_not_stay_on_the_disk(self):
        # Guards against disks that fill with configurations that later ones
        # have replaced, after which no change is acknowledged any more.
        sizes = []
        async with self.running_node() as running:
            for version in range(1, 25):
                outcome = await running.propose(
                    observers.adoption(version, CONFIGURATION_BYTES)
                )
                self.assertIsInstance(outcome, results.Accepted)
                sizes.append((self.path / 'log').stat().st_size)
            self.assertGreater(running.replica.log.snapshot.index, 0)
        bound = (
            compaction.MIN_BYTES
            + replica.RETAINED_BYTES
            + log_file.ALLOCATION_BYTES
            + 2 * CONFIGURATION_BYTES
        )
        self.assertLessEqual(max(sizes), bound)
        async with self.running_node() as running:
            self.assertIsNotNone(await running.read_index())
            source = running.state.documents.source
        self.assertEqual(
            source, observers.adoption(24, CONFIGURATION_BYTES).source
        )

    async def test_snapshot_is_tried_again_when_the_disk_has_space(self):
        # Guards against a log that is never replaced since the disk was full
        # at the one moment at which a snapshot was due.
        with (
            mock.patch.object(compaction, 'RETRY_S', 0.1),
            mock.patch.object(store.Store, 'has_free_space') as has_space,
        ):
            has_space.return_value = False
            async with self.running_node() as running:
                for version in range(1, 7):
                    await running.propose(
                        observers.adoption(version, CONFIGURATION_BYTES)
                    )
                await asyncio.sleep(0.3)
                self.assertEqual(running.replica.log.snapshot.index, 0)
                has_space.return_value = True
                async with asyncio.timeout(5):
                    while not running.replica.log.snapshot.index:
                        await asyncio.sleep(0.02)

    async def test_command_too_large_for_a_message_is_rejected_at_once(self):
        # Guards against an entry that no other member ever gets, and against
        # a proposal that is repeated until its time is over.
        async with self.running_node() as running:
            await running.propose(join_command(1))
            index = running.index
            outcome = await running.propose(
                observers.adoption(1, node.MAX_COMMAND_BYTES)
            )
            self.assertIsInstance(outcome, results.Rejected)
            self.assertEqual(running.index, index)

    async def test_proposal_ends_within_its_timeout(self):
        """The last try gets the time that is left, not a whole timeout."""
        async with self.running_node() as running:
            await running.propose(join_command(1))
            timeouts = []

            async def propose_as_leader(data, timeout_s):
                timeouts.append(timeout_s)
                await asyncio.sleep(0.2)

            running.propose_as_leader = propose_as_leader
            with mock.patch.object(node, 'PROPOSE_TIMEOUT_S', 0.6):
                outcome = await running.propose(join_command(2))
            self.assertIsInstance(outcome, results.Unavailable)
            self.assertLess(timeouts[-1], 0.2)
