import asyncio
import dataclasses
import unittest

from returns import result

from bulrushrudder.core import ids
from bulrushrudder.placement import crossing
from bulrushrudder.placement import service_zones
from bulrushrudder.protocol import place_messages
from bulrushrudder.state import evacuations
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import coordinator_fleet
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import zone_world


class ServiceLoadTests(unittest.IsolatedAsyncioTestCase):
    """An entry that hears no decision has to fall back to its own rule."""

    async def report(self, costs):
        vms = coordinator_fleet.CoordinatorFleet(('vm1', 'vm2'), costs)
        for zone in 'ab':
            server = fleet.server(f'docs-{zone}', 'service', zone=zone)
            vms.apply(
                servers.JoinServer(
                    dataclasses.replace(server, serves=('docs',))
                )
            )
        load = service_zones.ServiceLoad(ids.Zone('a'), 900.0, 100.0)
        client = vms.clients_by_vm['vm2']
        return vms, await client.report_service_load('docs', load)

    async def test_coordinator_answers_with_shares(self):
        _, answer = await self.report(zone_world.COSTS)
        self.assertEqual([s.target for s in answer.shares], ['b'])
        self.assertGreater(answer.valid_s, 0.0)

    async def test_coordinator_without_prices_decides_nothing(self):
        _, answer = await self.report(crossing.FIXED)
        self.assertEqual((answer.shares, answer.valid_s), ((), 0.0))

    async def test_unreachable_coordinator_gives_no_answer(self):
        vms, _ = await self.report(zone_world.COSTS)
        vms.down.add('vm1')
        load = service_zones.ServiceLoad(ids.Zone('a'), 900.0, 100.0)
        client = vms.clients_by_vm['vm2']
        self.assertIsNone(await client.report_service_load('docs', load))


class TakeoverTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.vms = coordinator_fleet.CoordinatorFleet(('vm1', 'vm2'))
        self.vms.join()
        self.first = self.vms.clients_by_vm['vm1']
        self.second = self.vms.clients_by_vm['vm2']
        for client in (self.first, self.second):
            task = asyncio.create_task(client.run())
            self.addCleanup(task.cancel)

    def ask(self, client, request, **changes):
        place_request = coordinator_fleet.place_request(request, **changes)
        return asyncio.create_task(client.request_place(place_request))

    async def release(self, client, request):
        await client.release(request, 'drafting')

    async def check_takeover(self):
        """Check that the second VM respects a hold that the first granted."""
        held = await self.ask(self.first, '1')
        self.assertIsInstance(held, result.Success)
        self.vms.host = 'vm2'
        self.vms.apply(servers.LeaveServer('other', 1))
        waiting = self.ask(self.second, '2', vm='vm2')
        await asyncio.sleep(1.0)
        self.assertFalse(waiting.done())
        await self.release(self.first, '1')
        self.assertIsInstance(await waiting, result.Success)

    async def test_new_coordinator_respects_earlier_hold(self):
        await self.check_takeover()

    async def test_new_coordinator_respects_hold_granted_after_role_check(
        self,
    ):
        await asyncio.sleep(0.2)
        await self.check_takeover()

    async def test_grant_of_evacuated_server_is_asked_for_elsewhere(self):
        # The coordinator of a VM of the previous build knows no evacuation.
        zone_b = ids.Zone('b')
        for number in range(1, 5):
            server = fleet.server(f'decode-b-{number}', zone=zone_b)
            self.vms.apply(servers.JoinServer(server))
        self.vms.apply(servers.JoinServer(fleet.server('decode-c')))
        asked = []
        ask_once = self.second._ask_once

        async def grant_evacuated(request):
            asked.append(request.excluded)
            if len(asked) == 1:
                granted = place_messages.PlaceGranted('', 'decode-b-1')
                return result.Success(granted)
            return await ask_once(request)

        self.second._ask_once = grant_evacuated
        self.vms.apply(evacuations.evacuate(zone_b))
        granted = await self.ask(self.second, '1', vm='vm2')
        self.assertIn(granted.unwrap().decode, ('decode-1', 'decode-c'))
        self.assertEqual(
            sorted(asked[1]), [f'decode-b-{number}' for number in range(1, 5)]
        )

    async def test_request_moves_when_its_coordinator_is_lost(self):
        self.vms.down.add('vm1')
        waiting = self.ask(self.second, '2', vm='vm2')
        await asyncio.sleep(0.3)
        self.vms.host = 'vm2'
        self.assertIsInstance(await waiting, result.Success)

    async def test_handover_moves_queued_request(self):
        await self.ask(self.first, '1')
        waiting = self.ask(self.second, '2', vm='vm2')
        await asyncio.sleep(0.1)
        self.vms.host = 'vm2'
        await self.first.hand_over()
        await self.release(self.first, '1')
        self.assertIsInstance(await waiting, result.Success)

    async def test_cancelled_request_holds_nothing(self):
        await self.ask(self.first, '1')
        cancelled = self.ask(self.first, '2')
        await asyncio.sleep(0.1)
        cancelled.cancel()
        await asyncio.sleep(0.1)
        last = self.ask(self.first, '3')
        await self.release(self.first, '1')
        self.assertIsInstance(await last, result.Success)

    async def test_place_on_departed_server_is_not_granted(self):
        await self.ask(self.first, '1')
        waiting = self.ask(self.first, '2', patience_s=0.5)
        await asyncio.sleep(0.1)
        self.vms.apply(servers.LeaveServer('decode-1', 1))
        await self.release(self.first, '1')
        self.assertIsInstance(await waiting, result.Failure)


if __name__ == '__main__':
    unittest.main()
