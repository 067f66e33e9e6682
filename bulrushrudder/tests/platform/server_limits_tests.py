import asyncio
import unittest

import aiohttp

from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import stating_runners

TIMEOUT_S = 30.0
LIMIT_PER_S = 1.0
WINDOW_S = 4.0
# One and a half times the limit over the window, and five requests.
MAX_ARRIVALS = 11
# A limit binds this long after the VM has received it.
BINDS_AFTER_S = 0.5
REQUESTS = 30
GAP_S = 0.15


class ServerLimitTests(unittest.IsolatedAsyncioTestCase):
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

    def limit(self, *runner_ids, requests_per_s=LIMIT_PER_S):
        for runner_id in runner_ids:
            self.pool.stated_by_id[runner_id] = [
                ('Server-Limit', str(requests_per_s))
            ]

    async def send(self, path, number, **headers):
        """Send a request; return its status and Retry-After."""
        headers = {'Attempt-Id': f'{number:016x}', **headers}
        try:
            async with self.fleet.call(path, headers=headers) as response:
                await response.read()
                return response.status, response.headers.get('Retry-After')
        except aiohttp.ClientError:
            return None, None

    async def send_many(self, path):
        """Let the VM learn the limits, then send requests at a fast pace.

        :returns: the monotonic seconds from which the limits bind, and
            the answers.
        """
        loop = asyncio.get_running_loop()
        announcing = asyncio.create_task(self.pool.keep_announcing())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.send(path, 1)
                await self.send(path, 2)
                await asyncio.sleep(BINDS_AFTER_S)
                since_s = loop.time()
                tasks = []
                for number in range(REQUESTS):
                    tasks.append(
                        asyncio.create_task(self.send(path, 100 + number))
                    )
                    await asyncio.sleep(GAP_S)
                return since_s, await asyncio.gather(*tasks)
        finally:
            announcing.cancel()

    async def test_engines_get_no_more_than_their_limit(self):
        await self.pool.add_engine('i-prefill', 'prefill')
        await self.pool.add_engine('i-decode', 'decode')
        self.limit('i-prefill', 'i-decode')
        since_s, _ = await self.send_many('/drafts/1')
        for runner_id in ('i-prefill', 'i-decode'):
            arrivals = self.pool.most_in(runner_id, WINDOW_S, since_s)
            self.assertLessEqual(arrivals, MAX_ARRIVALS, runner_id)
            self.assertGreater(arrivals, 0, runner_id)

    async def test_plain_servers_get_no_more_than_their_limit(self):
        for runner_id in ('i-p1', 'i-p2'):
            await self.pool.add_plain(runner_id)
        self.limit('i-p1', 'i-p2')
        since_s, answers = await self.send_many('/lookup/1')
        for runner_id in ('i-p1', 'i-p2'):
            arrivals = self.pool.most_in(runner_id, WINDOW_S, since_s)
            self.assertLessEqual(arrivals, MAX_ARRIVALS, runner_id)
            self.assertGreater(arrivals, 0, runner_id)
        refused = [answer for answer in answers if answer[0] != 200]
        self.assertTrue(refused)
        for status, retry_after in refused:
            self.assertEqual(status, 503)
            self.assertGreater(float(retry_after), 0)

    async def test_servers_without_a_limit_take_what_is_beyond_it(self):
        for runner_id in ('i-p1', 'i-p2'):
            await self.pool.add_plain(runner_id)
        self.limit('i-p1')
        since_s, answers = await self.send_many('/lookup/1')
        self.assertLessEqual(
            self.pool.most_in('i-p1', WINDOW_S, since_s), MAX_ARRIVALS
        )
        self.assertEqual({status for status, _ in answers}, {200})
