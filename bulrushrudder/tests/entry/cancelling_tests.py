import asyncio
import unittest

from returns import result

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.entry import cancelling
from bulrushrudder.metrics import entry as metrics_entry
from bulrushrudder.observers import view
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import fleet

SETTLE_S = 0.3


class FakeEngines:
    """Engines that record the targets of each cancellation."""

    def __init__(self):
        self.targets = []

    async def cancel(self, server, targets):
        self.targets += targets
        return result.Success(set(targets))


class OrphansTests(unittest.IsolatedAsyncioTestCase):
    # Guards against an order for the attempts of a gone process that reaches
    # those of its live successor, whose incarnation is lower because the
    # time of day was set back.

    async def asyncSetUp(self):
        self.view = view.View(types.Environment.PRODUCTION)
        self.engines = FakeEngines()
        self.canceller = cancelling.Canceller(
            ids.VmId('vm1'),
            self.view,
            self.engines,
            metrics_entry.EntryMetrics(),
        )
        self.apply(servers.JoinServer(fleet.server()))
        self.open('vm1', 5)
        self.open('vm2', 100)
        running = asyncio.create_task(self.canceller.run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(SETTLE_S)
        self.engines.targets.clear()

    def apply(self, command):
        self.view.apply(self.view.index + 1, command)

    def open(self, vm, incarnation):
        self.apply(
            sessions.OpenSession(
                fleet.owner(vm, incarnation),
                ids.Zone('a'),
                '127.0.0.1',
                1,
                replaces=self.view.state.sessions.incarnation(vm),
                seen_index=self.view.index,
            )
        )

    async def test_attempts_of_gone_process_are_cancelled(self):
        self.open('vm2', 101)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.engines.targets, [fleet.owner('vm2', 100)])

    async def test_order_that_would_reach_live_process_is_not_sent(self):
        self.open('vm2', 92)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.engines.targets, [])
