"""A test case with VMs whose paths to the backend servers are cut."""

import asyncio
import collections
import unittest

from bulrushrudder.tests.builders import entries_fleet

# Callers are served again this long after a cut, and directly this long
# after its end.
CONTACT_S = 3.0
CALLS = 5
STREAMS = 4
PATHS = ('/find/1', '/book/1', '/drafts/1', '/once/1')


class CutOffTestCase(unittest.IsolatedAsyncioTestCase):
    entries = 2

    async def asyncSetUp(self):
        # All processes share one loop, which debugging makes far slower.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = await self.enterAsyncContext(
            entries_fleet.running(self.entries)
        )
        self.runners_by_id = await self.fleet.add_runners()
        self.cut_off, self.other = self.fleet.entries[:2]

    async def cut(self, cut, *entries):
        """Cut paths under load, and wait until calls must be served.

        :param entries: the Entries whose paths are cut.
        """
        await self.warm_up()
        for entry in entries:
            entry.network.cut(cut)
        await asyncio.gather(
            *(
                entry.call_for(CONTACT_S, path)
                for entry in entries
                for path in ('/find/1', '/drafts/1')
            )
        )

    async def warm_up(self):
        """Call all paths, so that hosts of roles and connections exist."""
        for entry in self.fleet.entries:
            for path in PATHS:
                seen = await entry.call(path)
                self.assertEqual(seen.status, 200, path)

    def runs(self):
        """Return how often each attempt was run, without prefills."""
        return collections.Counter(
            call.headers['Attempt-Id']
            for runner in self.runners_by_id.values()
            for call in runner.calls
            if entries_fleet.is_run(call)
        )

    async def check_served(self, *entries):
        """Check that entry processes serve calls of all kinds."""
        for entry in entries:
            for path in ('/find/1', '/book/1'):
                for _ in range(CALLS):
                    seen = await entry.call(path)
                    self.assertEqual(seen.status, 200, (path, seen))
                    self.assertEqual(seen.body.decode(), seen.attempt)
                    self.assertEqual(self.runs()[seen.attempt], 1, path)
            for path in ('/drafts/1', '/once/1'):
                answers = await asyncio.gather(
                    *(entry.call(path) for _ in range(STREAMS))
                )
                for seen in answers:
                    self.assertEqual(seen.status, 200, (path, seen))
                    self.assertEqual(seen.body, entries_fleet.STREAM)
                    self.assertEqual(self.runs()[seen.attempt], 1, path)
