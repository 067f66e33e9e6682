import asyncio
import types
import unittest

from bulrushrudder.control import log_feed
from bulrushrudder.control import process
from bulrushrudder.protocol import frames
from bulrushrudder.protocol import log_messages
from bulrushrudder.state import results
from bulrushrudder.tests.builders import control_fleet
from bulrushrudder.tests.builders import observers
from bulrushrudder.utils import tasks

TIMEOUT_S = 20.0
COMMAND_BYTES = frames.MAX_FRAME_BYTES // 4


class LongLogTests(unittest.IsolatedAsyncioTestCase):
    async def test_observer_gets_log_larger_than_a_frame(self):
        # Guards against an entry process that never gets a configuration
        # again: the log was sent as one message, too large for a link.
        fleet = await self.enterAsyncContext(
            control_fleet.running(process.OwnInterface(), count=1)
        )
        for version in range(1, 7):
            outcome = await fleet.leader.node.propose(
                observers.adoption(version, COMMAND_BYTES)
            )
            self.assertIsInstance(outcome, results.Accepted)
        client, observed = observers.client_of(fleet.leader)
        running = asyncio.create_task(client.run())
        self.addAsyncCleanup(tasks.cancel, running)
        async with asyncio.timeout(TIMEOUT_S):
            while observed.confirmed_s is None:
                await asyncio.sleep(0.02)
        self.assertEqual(observed.lookups.document.version, 6)


class FakeNode:
    """A Node with a log, and a snapshot of its beginning.

    :ivar index: index of the last entry.
    """

    def __init__(self, sizes, snapshot=None):
        self._commands = [bytes(size) for size in sizes]
        self._snapshot = snapshot
        log = types.SimpleNamespace(snapshot=snapshot)
        self.replica = types.SimpleNamespace(members=(), log=log)

    @property
    def index(self):
        return len(self._commands)

    def commit(self, size):
        self._commands.append(bytes(size))

    def replace_snapshot(self, index, size):
        self._snapshot = types.SimpleNamespace(index=index, data=bytes(size))
        self.replica.log.snapshot = self._snapshot

    def needs_snapshot(self, index):
        return self._snapshot is not None and index < self._snapshot.index

    def commands_after(self, index, max_count, max_bytes):
        return tuple(self._commands[index : index + 1])


class SlowObserverTests(unittest.IsolatedAsyncioTestCase):
    def follow(self, node):
        """Let a SlowLink follow the log from its beginning."""
        feed = log_feed.LogFeed(node)
        link = observers.SlowLink()
        serving = asyncio.create_task(feed.serve(link, 0))
        self.addAsyncCleanup(tasks.cancel, serving)
        return feed, link

    async def turn(self):
        for _ in range(20):
            await asyncio.sleep(0)

    async def test_observer_that_does_not_read_gets_one_message(self):
        # Guards against a control process that holds its whole log once
        # more for each observer.
        node = FakeNode([1000] * 50)
        feed, link = self.follow(node)
        await self.turn()
        node.commit(1000)
        feed.send_all()
        await self.turn()
        self.assertEqual(len(link.sent), 1)

    async def test_observer_that_reads_gets_everything_in_order(self):
        node = FakeNode([1000] * 5)
        feed, link = self.follow(node)
        for _ in range(10):
            await self.turn()
            link.read()
            if node.index < 8:
                node.commit(1000)
                feed.send_all()
        await self.turn()
        self.assertEqual([m.first for m in link.sent], list(range(1, 9)))

    async def test_snapshot_is_completed_while_later_ones_replace_it(self):
        # Guards against a transfer that begins anew with each snapshot and
        # so never ends.
        node = FakeNode([1000] * 9)
        node.replace_snapshot(5, 3 * log_feed.STATE_CHUNK_BYTES)
        _, link = self.follow(node)
        await self.turn()
        node.replace_snapshot(8, 3 * log_feed.STATE_CHUNK_BYTES)
        for _ in range(10):
            link.read()
            await self.turn()
        first = [m for m in link.sent if getattr(m, 'index', 0) == 5]
        self.assertEqual(
            [m.offset for m in first],
            [n * log_feed.STATE_CHUNK_BYTES for n in range(3)],
        )
        self.assertIsInstance(link.sent[-1], log_messages.Entries)
        self.assertEqual(link.sent[-1].first, 9)

    async def test_link_that_takes_no_message_ends_the_feed(self):
        # Guards against a loop that repeats what cannot be sent.
        feed, link = self.follow(FakeNode([1000] * 5))
        link.send = lambda message: False
        await self.turn()
        self.assertFalse(feed.has(link))
