"""Servers that fail while the paths of the VM that calls them are lost."""

import asyncio
import contextlib
import unittest

from bulrushrudder.tests.builders import cuttable_network
from bulrushrudder.tests.builders import entries_fleet
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines

CONTACT_S = 3.0
FAILING_S = 8.0
MIN_SHARE = 2 / 3


async def served(path, server_id, fail, cut):
    """Return the share of calls served while one of two servers fails.

    :param fail: function of the Runner and a Call that returns the steps of
        an answer.
    :param cut: whether the VM that is called has lost its paths.
    """
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(entries_fleet.running(2))
        runners_by_id = await fleet.add_runners()
        entry = fleet.entries[0]
        for warmed in ('/find/1', '/drafts/1'):
            await entry.call(warmed)
        if cut:
            entry.network.cut(cuttable_network.REFUSED)
        await asyncio.gather(
            *(
                entry.call_for(CONTACT_S, warmed)
                for warmed in ('/find/1', '/drafts/1')
            )
        )
        runner = runners_by_id[server_id]

        def reply(call):
            if entries_fleet.is_run(call):
                return fail(runner, call)
            return entries_fleet.generate(call)

        runner.set_reply(reply)
        seen = await entry.call_for(FAILING_S, path)
        return sum(one.status == 200 for one in seen) / len(seen)


def error(runner, call):
    """Answer with status 500."""
    attempt = call.headers['Attempt-Id']
    status = '500 Internal Server Error'
    return [runners.answer(b'no', status=status, attempt=attempt)]


def silence(runner, call):
    """Send nothing."""
    return [runner.until_closed]


def reset(runner, call):
    """Reset the connection."""
    return [scripted_engines.reset]


class FailingServersBehindCutsTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a VM without paths that chooses a failing server for
    # ever, since it takes each failure for a lost path.
    async def check(self, path, server_id, fail):
        # All processes share one loop, which debugging makes far slower.
        asyncio.get_running_loop().set_debug(False)
        without = await served(path, server_id, fail, cut=False)
        behind = await served(path, server_id, fail, cut=True)
        self.assertGreaterEqual(behind, without * MIN_SHARE)

    async def test_server_that_answers_500_is_not_chosen_for_ever(self):
        await self.check('/book/1', 'i-portal-a', error)

    async def test_silent_server_is_not_chosen_for_ever(self):
        await self.check('/find/1', 'i-portal-a', silence)

    async def test_decode_server_that_resets_is_not_chosen_for_ever(self):
        await self.check('/once/1', 'i-decode-a', reset)
