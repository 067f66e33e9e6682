import asyncio
import unittest

from returns import result

from bulrushrudder.state import servers
from bulrushrudder.tests.builders import coordinator_fleet


class TakeOverTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.vms = coordinator_fleet.CoordinatorFleet(('vm1', 'vm2'))
        self.vms.join()
        self.first = self.vms.coordinators_by_vm['vm1']
        self.second = self.vms.coordinators_by_vm['vm2']
        for found in (self.first, self.second):
            task = asyncio.create_task(found.run())
            self.addCleanup(task.cancel)

    def ask(self, found, request, **changes):
        question = coordinator_fleet.question(request, **changes)
        return asyncio.create_task(found.request_place(question))

    async def release(self, found, request):
        await found.release(request, 'drafting')

    async def check_take_over(self):
        """Check that a hold of the first VM binds the second."""
        held = await self.ask(self.first, '1')
        self.assertIsInstance(held, result.Success)
        self.vms.charged = 'vm2'
        self.vms.apply(servers.LeaveServer('other', 1))
        waiting = self.ask(self.second, '2', vm='vm2')
        await asyncio.sleep(1.0)
        self.assertFalse(waiting.done())
        await self.release(self.first, '1')
        self.assertIsInstance(await waiting, result.Success)

    async def test_new_coordinator_learns_what_is_held(self):
        await self.check_take_over()

    async def test_also_of_what_was_held_since_the_last_look(self):
        await asyncio.sleep(0.2)
        await self.check_take_over()

    async def test_question_goes_on_when_its_coordinator_is_lost(self):
        self.vms.down.add('vm1')
        waiting = self.ask(self.second, '2', vm='vm2')
        await asyncio.sleep(0.3)
        self.vms.charged = 'vm2'
        self.assertIsInstance(await waiting, result.Success)

    async def test_hand_over_moves_what_waits(self):
        await self.ask(self.first, '1')
        waiting = self.ask(self.second, '2', vm='vm2')
        await asyncio.sleep(0.1)
        self.vms.charged = 'vm2'
        await self.first.hand_over()
        await self.release(self.first, '1')
        self.assertIsInstance(await waiting, result.Success)

    async def test_withdrawn_question_holds_nothing(self):
        await self.ask(self.first, '1')
        gone = self.ask(self.first, '2')
        await asyncio.sleep(0.1)
        gone.cancel()
        await asyncio.sleep(0.1)
        last = self.ask(self.first, '3')
        await self.release(self.first, '1')
        self.assertIsInstance(await last, result.Success)

    async def test_server_that_left_is_not_handed_on(self):
        await self.ask(self.first, '1')
        waiting = self.ask(self.first, '2', patience_s=0.5)
        await asyncio.sleep(0.1)
        self.vms.apply(servers.LeaveServer('decode-1', 1))
        await self.release(self.first, '1')
        self.assertIsInstance(await waiting, result.Failure)


if __name__ == '__main__':
    unittest.main()
