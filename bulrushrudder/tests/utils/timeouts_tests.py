import asyncio
import time
import unittest

from bulrushrudder.utils import timeouts

LIMIT_S = 0.2


class RunningTimeoutTests(unittest.IsolatedAsyncioTestCase):
    async def test_ends_block_that_waits_beyond_limit(self):
        began_s = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with timeouts.RunningTimeout(LIMIT_S):
                await asyncio.Event().wait()
        self.assertGreaterEqual(time.monotonic() - began_s, LIMIT_S)

    async def test_block_that_ends_in_time_is_not_cancelled_later(self):
        async with timeouts.RunningTimeout(LIMIT_S):
            await asyncio.sleep(0)
        await asyncio.sleep(2 * LIMIT_S)

    async def test_cancellation_from_outside_is_not_a_timeout(self):
        async def wait():
            async with timeouts.RunningTimeout(LIMIT_S):
                await asyncio.Event().wait()

        waiting = asyncio.create_task(wait())
        await asyncio.sleep(0)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting

    async def test_standstill_leaves_time_to_read_what_has_arrived(self):
        arrived = asyncio.Event()
        async with timeouts.RunningTimeout(LIMIT_S):
            asyncio.get_running_loop().call_later(LIMIT_S, arrived.set)
            time.sleep(2 * LIMIT_S)
            await arrived.wait()

    async def test_block_that_waits_on_after_standstill_is_ended(self):
        with self.assertRaises(TimeoutError):
            async with timeouts.RunningTimeout(LIMIT_S):
                time.sleep(2 * LIMIT_S)
                await asyncio.Event().wait()
