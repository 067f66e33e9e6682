import asyncio
import itertools
import unittest

import aiohttp

from bulrushrudder.tests.builders import crashing_pool
from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import platform_fleet

TIMEOUT_S = 60.0
POOL_SIZE = 3
PART = 'de4d'
REQUESTS = 14
# The fifth crash and three requests more.
MAX_ARRIVALS = 8


def configuration():
    """Return a configuration with a resumable and an unrepeatable route."""
    content = platform.configuration()
    content['routes'].append(
        {
            **platform.ROUTE,
            'name': 'r-once',
            'path_prefix': '/once/',
            'resumable': False,
            'max_attempts': 1,
        }
    )
    content['routes'].append(
        {
            **platform.ROUTE,
            'name': 'r-lookup',
            'path_prefix': '/lookup/',
            'route_type': 'idempotent',
            'timeout_ms': 2000,
            'target_latency_ms': 500,
            'service': 'portal',
            'resumable': False,
        }
    )
    return content


class CrashingPartTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        status = await self.fleet.put_configuration(configuration())
        self.assertEqual(status, 200)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )
        self.numbers = itertools.count()

    async def send(self, route, *parts):
        """Send a request that is like no other; return its status."""
        number = next(self.numbers)
        entries = [f'{part}:100' for part in (*parts, f'0{number:x}')]
        try:
            async with self.fleet.call(
                f'/{route}/{number}',
                body=b'%d' % number,
                headers={'Prompt-Prefix': ','.join(entries)},
            ) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return None

    async def crash_runners(self, route, stage='decode'):
        """Send requests with the part until no more are to be sent.

        :returns: the CrashingPool.
        """
        pool = crashing_pool.CrashingPool(self.fleet, PART, stage)
        await pool.start(POOL_SIZE)
        for _ in range(REQUESTS):
            await self.send(route, 'aa', PART)
            await pool.renew()
        return pool

    async def test_part_that_crashes_servers_no_longer_reaches_them(self):
        async with asyncio.timeout(TIMEOUT_S):
            pool = await self.crash_runners('once')
        self.assertGreater(pool.crashes, 1)
        self.assertLessEqual(pool.arrivals, MAX_ARRIVALS)

    async def test_repeats_count_as_requests_with_the_part(self):
        async with asyncio.timeout(TIMEOUT_S):
            pool = await self.crash_runners('drafts')
        self.assertGreater(pool.crashes, 1)
        self.assertLessEqual(pool.arrivals, MAX_ARRIVALS)

    async def test_part_that_crashes_prefill_servers_is_stopped_too(self):
        async with asyncio.timeout(TIMEOUT_S):
            pool = await self.crash_runners('once', 'prefill')
        self.assertGreater(pool.crashes, 1)
        self.assertLessEqual(pool.arrivals, MAX_ARRIVALS)

    async def test_call_that_crashes_plain_servers_is_stopped(self):
        pool = crashing_pool.ServicePool(self.fleet, b'deadly')
        await pool.start(POOL_SIZE)
        async with asyncio.timeout(TIMEOUT_S):
            for _ in range(REQUESTS):
                await self.call_service('same', b'deadly')
                await pool.renew()
        self.assertGreater(pool.crashes, 1)
        self.assertLessEqual(pool.arrivals, MAX_ARRIVALS)
        self.assertEqual(await self.call_service('same', b'sound'), 200)

    async def call_service(self, path, body):
        async with self.fleet.call(f'/lookup/{path}', body=body) as response:
            return response.status

    async def test_sound_requests_with_the_other_parts_are_served(self):
        async with asyncio.timeout(TIMEOUT_S):
            pool = await self.crash_runners('once')
            for _ in range(REQUESTS):
                self.assertEqual(await self.send('once', 'aa'), 200)
                await pool.renew()
