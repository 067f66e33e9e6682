import asyncio
import unittest

from returns import result

from bulrushrudder.control import process
from bulrushrudder.control import server
from bulrushrudder.core import ids
from bulrushrudder.documents import types as document_types
from bulrushrudder.entry import control_client
from bulrushrudder.observers import view
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import link
from bulrushrudder.protocol import log_messages
from bulrushrudder.state import results
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import control_fleet
from bulrushrudder.tests.builders import fleet
from bulrushrudder.utils import tasks

TIMEOUT_S = 5.0
DELAY_S = 0.6
STALE_S = 3.0
# Time in which a change has to be in force.
MAX_VIEW_AGE_S = 2.0
# Entries change over to another control process after this time.
MAX_SUCCESSION_S = control_client.FAILOVER_TIMEOUT_S


def open_session(vm):
    return sessions.OpenSession(fleet.owner(vm), ids.Zone('a'), '127.0.0.1', 1)


class StopTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(
            control_fleet.running(process.OwnInterface())
        )

    async def dial(self, member):
        """Return a link to a process, as an entry process opens it."""
        dialled = await link.dial(
            member.settings.control.inner,
            fleet.owner('entry'),
            b'',
            self._ignore,
        )
        opened = dialled.unwrap()
        running = asyncio.create_task(opened.run())
        self.addAsyncCleanup(tasks.cancel, running)
        self.addCleanup(opened.close)
        opened.send(log_messages.Observe(fleet.owner('entry'), 0))
        return opened

    async def _ignore(self, link_, message):
        return None

    async def propose(self, opened, vm):
        """Propose to open a session; return the Outcome, or a LinkError."""
        request = log_messages.Propose(codec.encode(open_session(vm)))
        match await opened.ask(request, TIMEOUT_S):
            case result.Success(log_messages.Proposed(outcome=data)):
                return codec.decode(data).unwrap()
            case result.Failure(error):
                return error
        raise AssertionError('unexpected answer')

    async def open_sessions(self):
        """Return the VMs whose sessions the leader has committed."""
        leader = await self.fleet.wait_for_leader()
        return set(leader.node.state.sessions.by_vm)

    # Guard against proposals whose outcome is known but lost, because
    # links are closed while requests of their peers are in flight.

    async def check_answers_before_links_close(self, member):
        self.fleet.leader.delay_messages(DELAY_S)
        opened = await self.dial(member)
        proposed = asyncio.create_task(self.propose(opened, 'edge-1'))
        await asyncio.sleep(0.1)
        await member.stop()
        self.assertIsInstance(await proposed, results.Accepted)
        self.assertEqual(await self.open_sessions(), {'edge-1'})
        async with asyncio.timeout(TIMEOUT_S):
            await opened.closed.wait()

    async def test_follower_answers_proposals_before_links_close(self):
        await self.check_answers_before_links_close(self.fleet.followers[0])

    async def test_leader_answers_proposals_before_links_close(self):
        await self.check_answers_before_links_close(self.fleet.leader)

    async def test_new_proposal_is_refused_and_has_no_effect(self):
        follower = self.fleet.followers[0]
        self.fleet.leader.delay_messages(DELAY_S)
        opened = await self.dial(follower)
        proposed = asyncio.create_task(self.propose(opened, 'before'))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(follower.stop())
        await asyncio.sleep(0.1)
        refused = await self.propose(opened, 'late')
        self.assertIsInstance(refused, results.Unavailable)
        self.assertIn('no effect', refused.problem)
        self.assertIsInstance(await proposed, results.Accepted)
        await stopping
        self.assertEqual(await self.open_sessions(), {'before'})

    async def test_observers_change_over_while_all_restart_in_turn(self):
        client, observed = self._follow()
        outcomes = {}
        proposing = asyncio.create_task(self._go_on(client, outcomes))
        ages_s = []
        watching = asyncio.create_task(self._watch(observed, ages_s))
        for member in (self.fleet.followers[0], self.fleet.leader):
            await asyncio.sleep(0.5)
            await member.stop()
            await asyncio.sleep(1.0)
            self.fleet.restart(member)
            await self.fleet.wait_until_ready()
        await tasks.cancel(proposing)
        await tasks.cancel(watching)
        accepted = {
            vm
            for vm, outcome in outcomes.items()
            if isinstance(outcome, results.Accepted)
        }
        self.assertLessEqual(accepted, await self.open_sessions())
        self.assertGreater(len(accepted), 10)
        self.assertLess(max(ages_s), MAX_VIEW_AGE_S)

    # Guards against a successor whose first message to a member that was
    # restarted is dropped, and sent again a second later.

    async def test_successor_is_ready_soon_after_a_member_was_restarted(self):
        # The leader prefers the first of the others as its successor.
        order = [m.id for m in self.fleet.leader.node.replica.members]
        member = max(
            self.fleet.followers, key=lambda m: order.index(m.node.replica.id)
        )
        await member.stop()
        self.fleet.restart(member)
        await self.fleet.wait_until_ready()
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        stopping = asyncio.create_task(self.fleet.leader.stop())
        await self._wait_for_successor()
        self.assertLess(loop.time() - began_s, MAX_SUCCESSION_S)
        await stopping

    async def test_followers_keep_links_to_each_other_open(self):
        for member in self.fleet.followers:
            member.control.peers.close()
        await asyncio.sleep(1.5 * server.TICK_INTERVAL_S)
        for member in self.fleet.followers:
            links_by_address = member.control.peers._links_by_address
            closed = [
                address
                for address in member.node.other_addresses()
                if links_by_address[address].closed.is_set()
            ]
            self.assertEqual(closed, [])

    async def _wait_for_successor(self):
        before = self.fleet.leader
        async with asyncio.timeout(TIMEOUT_S):
            while self.fleet.leader in (before, None):
                await asyncio.sleep(0.01)

    def _follow(self):
        observed = view.View(document_types.Environment.PRODUCTION, STALE_S)
        client = control_client.ControlClient(
            observed,
            fleet.owner('observer'),
            b'',
            self.fleet.members[0].settings.controls,
        )
        running = asyncio.create_task(client.run())
        self.addAsyncCleanup(tasks.cancel, running)
        return client, observed

    async def _go_on(self, client, outcomes):
        number = 0
        while True:
            number += 1
            outcomes[f'vm{number}'] = await client.propose(
                open_session(f'vm{number}')
            )
            await asyncio.sleep(0.02)

    async def _watch(self, observed, ages_s):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.4)
        while True:
            ages_s.append(observed.age_s(loop.time()))
            await asyncio.sleep(0.02)
