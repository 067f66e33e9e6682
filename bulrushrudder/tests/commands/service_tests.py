import asyncio
import contextlib
import unittest

import aiohttp

from bulrushrudder.commands import service
from bulrushrudder.tests.builders import clocks
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import frontends

SUSPENSION_S = 5.0
# Far longer than it takes to read a clock twice.
TOLERANCE_S = 1.0
TIMEOUT_S = 20.0


def serve(run):
    """Run a coroutine function as commands do, and return its result."""
    results = []

    async def run_and_record(settings, stopping):
        async with asyncio.timeout(TIMEOUT_S):
            results.append(await run())

    service.serve(run_and_record, None, log_format='human')
    (found,) = results
    return found


class SuspensionTests(unittest.TestCase):
    # Guards against a process that takes a permission for valid which ran
    # out while its VM was suspended.

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.clocks = clocks.VmClocks(stack)

    def test_clock_of_processes_counts_suspension(self):
        async def measure():
            loop = asyncio.get_running_loop()
            before_s = loop.time()
            self.clocks.suspend(SUSPENSION_S)
            return loop.time() - before_s

        passed_s = serve(measure)
        self.assertAlmostEqual(passed_s, SUSPENSION_S, delta=TOLERANCE_S)

    def test_timer_that_was_due_during_suspension_fires_after_it(self):
        async def measure():
            sleeping = asyncio.create_task(asyncio.sleep(SUSPENSION_S))
            await asyncio.sleep(0)
            self.clocks.suspend(SUSPENSION_S)
            await asyncio.sleep(0.01)
            await asyncio.sleep(0)
            return sleeping.done()

        self.assertTrue(serve(measure))

    def test_keyed_calls_are_refused_until_view_is_confirmed_again(self):
        document = documents.document(1)

        async def call():
            async with contextlib.AsyncExitStack() as stack:
                port, services = await frontends.listen(stack, document)
                session = await stack.enter_async_context(
                    aiohttp.ClientSession(f'http://127.0.0.1:{port}')
                )
                statuses = []
                for suspended_s in (0.0, SUSPENSION_S):
                    self.clocks.suspend(suspended_s)
                    async with session.get('/-/ready') as response:
                        statuses.append(response.status)
                return statuses

        self.assertEqual(serve(call), [200, 503])
