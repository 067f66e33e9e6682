import asyncio
import unittest

import aiohttp

from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import stating_runners

TIMEOUT_S = 30.0
PAUSE_S = 2.0
LEAVING = [('Server-Leaving', '1')]
PAUSED = [('Retry-After', str(PAUSE_S))]


class StatementTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        status = await self.fleet.put_configuration(
            stating_runners.configuration()
        )
        self.assertEqual(status, 200)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )
        self.pool = stating_runners.StatingPool(self.fleet)
        announcing = asyncio.create_task(self.pool.keep_announcing())
        self.addCleanup(announcing.cancel)
        self.number = 0

    async def send(self, path):
        """Send a request; return its status and Retry-After."""
        self.number += 1
        headers = {'Attempt-Id': f'{self.number:016x}'}
        try:
            async with asyncio.timeout(TIMEOUT_S):
                async with self.fleet.call(path, headers=headers) as response:
                    await response.read()
                    return response.status, response.headers.get('Retry-After')
        except aiohttp.ClientError:
            return None, None

    async def start_engines(self, *decodes):
        await self.pool.add_engine('i-prefill', 'prefill')
        for runner_id in decodes:
            await self.pool.add_engine(runner_id, 'decode')

    async def start_plain(self, *runner_ids):
        for runner_id in runner_ids:
            await self.pool.add_plain(runner_id)

    def arrivals(self, *runner_ids):
        return [self.pool.arrivals(runner_id) for runner_id in runner_ids]

    async def test_engine_that_states_it_is_leaving_gets_no_new_work(self):
        await self.start_engines('i-1', 'i-2')
        self.pool.stated_by_id['i-1'] = LEAVING
        for _ in range(8):
            self.assertEqual((await self.send('/drafts/1'))[0], 200)
        leaving, staying = self.arrivals('i-1', 'i-2')
        self.assertLessEqual(leaving, 1)
        self.assertGreaterEqual(staying, 7)

    async def test_late_announcement_does_not_bring_a_leaving_server_back(
        self,
    ):
        await self.start_engines('i-1')
        self.pool.stated_by_id['i-1'] = LEAVING
        self.assertEqual((await self.send('/drafts/1'))[0], 200)
        await asyncio.sleep(3 * stating_runners.HEARTBEAT_INTERVAL_S)
        status, retry_after = await self.send('/drafts/1')
        self.assertEqual(status, 503)
        self.assertGreater(float(retry_after), 0)
        self.assertEqual(self.arrivals('i-1'), [1])

    async def test_prefill_that_states_it_is_leaving_gets_no_more(self):
        await self.start_engines('i-1')
        await self.pool.add_engine('i-other', 'prefill')
        self.pool.stated_by_id['i-prefill'] = LEAVING
        for _ in range(6):
            self.assertEqual((await self.send('/drafts/1'))[0], 200)
        self.assertLessEqual(self.arrivals('i-prefill')[0], 1)

    async def test_plain_server_that_asked_for_a_pause_gets_nothing(self):
        await self.start_plain('i-p1', 'i-p2')
        self.pool.stated_by_id['i-p1'] = PAUSED
        self.pool.refusing.add('i-p1')
        for _ in range(8):
            self.assertEqual((await self.send('/lookup/1'))[0], 200)
        self.assertLessEqual(self.arrivals('i-p1')[0], 1)
        self.pool.refusing.clear()
        await asyncio.sleep(PAUSE_S)
        before = self.arrivals('i-p1')[0]
        for _ in range(8):
            self.assertEqual((await self.send('/lookup/1'))[0], 200)
        self.assertGreater(self.arrivals('i-p1')[0], before)

    async def test_call_is_refused_at_once_while_all_servers_pause(self):
        await self.start_plain('i-p1', 'i-p2')
        for runner_id in ('i-p1', 'i-p2'):
            self.pool.stated_by_id[runner_id] = PAUSED
            self.pool.refusing.add(runner_id)
        await self.send('/lookup/1')
        await self.send('/lookup/1')
        before = self.arrivals('i-p1', 'i-p2')
        status, retry_after = await self.send('/lookup/1')
        self.assertEqual(status, 503)
        self.assertLessEqual(float(retry_after), PAUSE_S)
        self.assertEqual(self.arrivals('i-p1', 'i-p2'), before)

    async def test_engine_that_asked_for_a_pause_gets_nothing(self):
        await self.start_engines('i-1', 'i-2')
        self.pool.stated_by_id['i-1'] = PAUSED
        self.pool.refusing.add('i-1')
        for _ in range(8):
            self.assertEqual((await self.send('/drafts/1'))[0], 200)
        self.assertLessEqual(self.arrivals('i-1')[0], 1)
