import asyncio
import contextlib
import unittest
from unittest import mock

from bulrushrudder.control import compaction
from bulrushrudder.control import log_feed
from bulrushrudder.control import process
from bulrushrudder.entry import control_client
from bulrushrudder.tests.builders import control_fleet
from bulrushrudder.tests.builders import observers
from bulrushrudder.tests.builders import slow_relay
from bulrushrudder.utils import tasks

# A link of 5 Mbit/s.
RATE = 625_000
TIMEOUT_S = 20.0
# Takes longer than the time in which a silent control process is left.
LARGE_BYTES = int(3 * RATE * control_client.FAILOVER_TIMEOUT_S)


class NarrowLinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(
            control_fleet.running(process.OwnInterface(), count=1)
        )

    async def adopt(self, size):
        """Put a configuration in force."""
        await self.fleet.leader.node.propose(observers.adoption(1, size))

    async def check_observer_catches_up_on_one_link(self):
        stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        inner = self.fleet.leader.settings.control.inner
        relay = await slow_relay.SlowRelay(inner, RATE).start(stack)
        client, observed = observers.client_of(
            self.fleet.leader, relay.address
        )
        tasks.spawn(stack, client.run())
        async with asyncio.timeout(TIMEOUT_S):
            while observed.confirmed_s is None:
                await asyncio.sleep(0.02)
        self.assertEqual(observed.lookups.document.version, 1)
        self.assertEqual(relay.connections, 1)

    # Guard against an observer that leaves a control process in the middle
    # of a transfer, which the next one begins anew, for ever.

    async def test_snapshot_that_takes_longer_than_the_failover(self):
        with mock.patch.object(compaction, 'MAX_ENTRIES', 2):
            await self.adopt(LARGE_BYTES)
            async with asyncio.timeout(TIMEOUT_S):
                while not self.fleet.leader.node.replica.log.snapshot.index:
                    await asyncio.sleep(0.02)
        self.assertGreater(LARGE_BYTES, 2 * log_feed.STATE_CHUNK_BYTES)
        await self.check_observer_catches_up_on_one_link()

    async def test_entry_that_takes_longer_than_the_failover(self):
        await self.adopt(LARGE_BYTES)
        await self.check_observer_catches_up_on_one_link()
