import unittest

from returns import result

from bulrushrudder.core import ids
from bulrushrudder.placement import events
from bulrushrudder.standins import entry_path
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import coordinator_fleet
from bulrushrudder.tests.builders import fleet

MODEL = ids.ModelId('drafting')


class LocalCoordinatorTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        log = entry_path.LocalLog()
        for kind in ('prefill', 'decode'):
            log.commit(servers.JoinServer(fleet.server(f'{kind}-1', kind)))
        shared = entry_path.LocalCoordinator(log)
        self.clients_by_vm = {
            vm: entry_path.LocalCoordinatorClient(shared, fleet.owner(vm))
            for vm in ('vm1', 'vm2')
        }

    async def ask(self, vm, place, isolation=events.Isolation.NONE):
        """Ask for a place that is free now."""
        return await self.clients_by_vm[vm].request_place(
            coordinator_fleet.place_request(
                place, vm, patience_s=0.0, isolation=int(isolation)
            )
        )

    async def test_same_place_ids_of_two_entries_stay_apart(self):
        for vm in self.clients_by_vm:
            self.assertIsInstance(await self.ask(vm, '10-3'), result.Success)
        await self.clients_by_vm['vm2'].release('10-3', MODEL, 0.0, 0.0, 0)
        alone = await self.ask('vm2', '11-1', events.Isolation.ALONE)
        self.assertIsInstance(alone, result.Failure)


if __name__ == '__main__':
    unittest.main()
