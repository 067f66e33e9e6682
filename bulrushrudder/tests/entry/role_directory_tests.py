import asyncio
import unittest
from unittest import mock

from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import ranking
from bulrushrudder.documents import types as document_types
from bulrushrudder.entry import coordinator_host
from bulrushrudder.entry import role_directory
from bulrushrudder.observers import view
from bulrushrudder.placement import events
from bulrushrudder.protocol import errors
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import fleet

VMS = ('vm1', 'vm2', 'vm3')
SOFT_ROLE = 'model/drafting'
ACCOUNT_ROLE = 'account/acme'
CLOSED = result.Failure(
    errors.LinkError(errors.LinkProblem.CLOSED, 'closed', True)
)


class FakePeers:
    """Links to all VMs except those that are down."""

    def __init__(self):
        self.down = set()
        self.asked = []

    async def ask(self, address, request, timeout_s):
        self.asked.append(address.host)
        if address.host in self.down:
            return CLOSED
        return result.Success(address.host)

    async def can_reach(self, address):
        return address.host not in self.down


class RoleDirectoryTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.view = view.View(document_types.Environment.PRODUCTION)
        for index, vm in enumerate(VMS, 1):
            self.view.apply(index, self.session(vm))
        self.peers = FakePeers()
        self.directory = role_directory.RoleDirectory(
            self.view, fleet.owner('other'), self.peers
        )
        patch = mock.patch.object(role_directory, 'PROBE_INTERVAL_S', 0.02)
        patch.start()
        self.addCleanup(patch.stop)

    def session(self, vm, incarnation=1):
        return sessions.OpenSession(
            owner=fleet.owner(vm, incarnation),
            zone=ids.Zone('a'),
            address=vm,
            port=1,
            hosts_roles=True,
        )

    async def ask(self, key):
        return await self.directory.ask(key, 'request', 0.1, None)

    async def test_soft_state_role_leaves_unreachable_vm_and_returns(self):
        first = ranking.choose(SOFT_ROLE, VMS)
        second = ranking.choose(SOFT_ROLE, [vm for vm in VMS if vm != first])
        self.assertEqual(await self.ask(SOFT_ROLE), result.Success(first))
        self.peers.down = {first}
        self.assertEqual(await self.ask(SOFT_ROLE), CLOSED)
        self.assertEqual(self.directory.host_of(SOFT_ROLE), second)
        self.assertEqual(await self.ask(SOFT_ROLE), result.Success(second))
        changes = self.directory.suspicion_changes
        self.peers.down = set()
        async with asyncio.timeout(2.0):
            while self.directory.suspicion_changes == changes:
                await asyncio.sleep(0.01)
        self.assertEqual(self.directory.host_of(SOFT_ROLE), first)

    async def test_account_role_stays_on_unreachable_vm(self):
        first = ranking.choose(ACCOUNT_ROLE, VMS)
        self.peers.down = {first}
        self.assertEqual(await self.ask(ACCOUNT_ROLE), CLOSED)
        self.assertEqual(self.directory.host_of(ACCOUNT_ROLE), first)

    async def test_restarted_vm_is_not_suspect(self):
        first = ranking.choose(SOFT_ROLE, VMS)
        self.peers.down = {first}
        await self.ask(SOFT_ROLE)
        self.view.apply(len(VMS) + 1, self.session(first, 2))
        self.assertEqual(self.directory.host_of(SOFT_ROLE), first)

    async def test_first_choice_hosts_role_when_all_vms_are_suspect(self):
        self.peers.down = set(VMS)
        for _ in VMS:
            await self.ask(SOFT_ROLE)
        self.assertEqual(
            self.directory.host_of(SOFT_ROLE), ranking.choose(SOFT_ROLE, VMS)
        )

    # Guards against two VMs that both take themselves to be in charge for
    # certain, because each cannot reach the other.
    async def test_election_does_not_depend_on_reachable_vms(self):
        elected = self.directory.is_elected(SOFT_ROLE)
        self.peers.down = set(VMS)
        for _ in VMS:
            await self.ask(SOFT_ROLE)
        self.assertEqual(self.directory.is_elected(SOFT_ROLE), elected)
        chosen = ranking.choose(SOFT_ROLE, VMS)
        self.assertEqual(elected, chosen == self.directory._owner.vm)


class CoordinatorHostTests(unittest.IsolatedAsyncioTestCase):
    async def test_closes_coordinator_at_once_when_no_longer_in_charge(self):
        host = coordinator_host.CoordinatorHost(
            view.View(document_types.Environment.PRODUCTION)
        )
        host.handle_event('drafting', events.Ticked())
        host.close_moved(lambda model: True)
        self.assertIn('drafting', host.wanted_prefills_by_model())
        host.close_moved(lambda model: False)
        self.assertEqual(host.wanted_prefills_by_model(), {})

    async def test_substitute_coordinator_stays_open_until_idle(self):
        host = coordinator_host.CoordinatorHost(
            view.View(document_types.Environment.PRODUCTION)
        )
        host.handle_event('drafting', events.Ticked())
        host.close_moved(lambda model: False)
        self.assertIn('drafting', host.wanted_prefills_by_model())
        with mock.patch.object(
            coordinator_host, 'SUBSTITUTE_IDLE_TIMEOUT_S', -1.0
        ):
            host.close_moved(lambda model: False)
        self.assertEqual(host.wanted_prefills_by_model(), {})
