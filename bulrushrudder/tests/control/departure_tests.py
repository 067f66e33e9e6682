import asyncio
import unittest

from bulrushrudder.platform import control_api
from bulrushrudder.tests.builders import control_fleet

# Far below the time after which a silent voter no longer counts as live.
ANSWER_S = 0.5


class DepartureTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(
            control_fleet.running(control_api.Interface())
        )
        await self.wait_for_losses(1)

    async def wait_for_losses(self, count):
        """Wait until the leader says how many voters may be lost."""
        async with asyncio.timeout(ANSWER_S):
            leader = await self.fleet.wait_for_leader()
            while leader.node.replica.tolerable_losses != count:
                await asyncio.sleep(0.02)
                leader = await self.fleet.wait_for_leader()

    async def test_leader_knows_at_once_that_a_follower_has_stopped(self):
        await self.fleet.followers[0].stop()
        await self.wait_for_losses(0)

    async def test_next_leader_knows_at_once_that_the_leader_has_stopped(self):
        await self.fleet.leader.stop()
        await self.wait_for_losses(0)

    async def test_process_that_is_started_again_counts_again(self):
        follower = self.fleet.followers[0]
        await follower.stop()
        await self.wait_for_losses(0)
        self.fleet.restart(follower)
        await self.fleet.wait_until_ready()
        await self.wait_for_losses(1)
