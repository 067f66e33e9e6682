import asyncio
import unittest

import aiohttp

from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import stating_runners

TIMEOUT_S = 30.0
COLD_PER_S = 12.0
BOUND = 23
REQUESTS = 120
GAP_S = 0.02
SERVERS = ('i-prefill', 'i-decode')


class ColdServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        content = stating_runners.configuration()
        for service in content['services']:
            service |= {'cold_start_s': 3.0, 'cold_per_s': COLD_PER_S}
        self.assertEqual(await self.fleet.put_configuration(content), 200)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )
        self.pool = stating_runners.StatingPool(self.fleet)

    async def send(self, path, number):
        """Send a request; return its status."""
        headers = {'Attempt-Id': f'{number:016x}'}
        try:
            async with self.fleet.call(path, headers=headers) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return None

    async def send_many(self, path):
        """Send requests faster than cold servers take them."""
        announcing = asyncio.create_task(self.pool.keep_announcing())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                tasks = []
                for number in range(REQUESTS):
                    tasks.append(
                        asyncio.create_task(self.send(path, 100 + number))
                    )
                    await asyncio.sleep(GAP_S)
                return await asyncio.gather(*tasks)
        finally:
            announcing.cancel()

    async def add_engines(self, remaining_ms):
        for runner_id, stage in zip(
            SERVERS, ('prefill', 'decode'), strict=True
        ):
            await self.pool.add_engine(
                runner_id, stage, cold_remaining_ms=remaining_ms
            )

    async def test_cold_engines_get_no_more_than_the_bound(self):
        await self.add_engines(3000)
        self.assertIn(200, await self.send_many('/drafts/1'))
        for runner_id in SERVERS:
            arrivals = self.pool.most_in(runner_id, 1.0, 0.0)
            self.assertLessEqual(arrivals, BOUND, runner_id)
            self.assertGreater(arrivals, 0, runner_id)

    async def test_cold_plain_servers_get_no_more_than_the_bound(self):
        fields = {'service': 'portal', 'stage': None, 'slots': 6}
        await self.pool.add_engine('i-p1', cold_remaining_ms=3000, **fields)
        self.assertIn(200, await self.send_many('/lookup/1'))
        arrivals = self.pool.most_in('i-p1', 1.0, 0.0)
        self.assertLessEqual(arrivals, BOUND)
        self.assertGreater(arrivals, 0)

    async def test_turn_is_known_to_the_entry_and_ends_by_announcement(self):
        runner = await self.fleet.add_runner(
            lambda call: [], 'i-1', stage='decode', cold_remaining_ms=0
        )
        by_id = self.fleet.entry.view.state.servers.by_id
        table = self.fleet.control.node.state.servers
        for remaining_ms, cold in ((900, True), (0, False)):
            async with asyncio.timeout(TIMEOUT_S):
                while by_id['i-1'].cold is not cold:
                    await self.fleet.send_heartbeat(
                        runner,
                        'i-1',
                        stage='decode',
                        cold_remaining_ms=remaining_ms,
                    )
                    await asyncio.sleep(0.2)
            self.assertEqual(table.count_cold(), int(cold))

    async def test_nothing_is_held_back_before_warm_servers(self):
        await self.add_engines(0)
        await self.send_many('/drafts/1')
        metrics = self.fleet.entry.metrics.held_back
        self.assertEqual(metrics.get_all(), [])
