import types
import unittest
from unittest import mock

from bulrushrudder.control import server
from bulrushrudder.core import ids
from bulrushrudder.membership import tracker
from bulrushrudder.observers import leases
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import log_messages
from bulrushrudder.state import machine
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import fleet

PAUSE_S = 8.0
STEP_S = 0.25


class FakeNode:
    """A Node of a process that leads, as far as it knows.

    :ivar leads: whether the other members still follow it.
    """

    def __init__(self):
        self.is_ready_leader = True
        self.leader_address = None
        self.state = machine.State()
        self.replica = types.SimpleNamespace()
        self.leads = True

    def other_addresses(self):
        """Return no addresses; this process has no links."""
        return ()

    async def propose(self, command):
        """Commit a command, through the leader if that is another."""
        return self.state.apply(self.state.index + 1, command)

    async def propose_as_leader(self, data):
        if not self.leads:
            return None
        return await self.propose(codec.decode(data).unwrap())


class PausedLeaderTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a leader that was paused and then removes all sessions
    # and servers, because it heard nobody during its pause.

    async def asyncSetUp(self):
        self.now_s = 100.0
        patch = mock.patch.object(server, '_now_s', lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.node = FakeNode()
        self.control = server.ControlProcess(lambda _: self.node, None)
        self.owner = fleet.owner()
        await self.node.propose(
            sessions.OpenSession(self.owner, ids.Zone('a'), '127.0.0.1', 1)
        )
        await self.run_for(1.0)
        await self.hear()

    async def hear(self):
        """Handle a contact of the entry and a server's announcement."""
        index = self.node.state.index
        contact = log_messages.ObserverContact(self.owner, index, 0.0)
        await self.control.handle(
            None, log_messages.ReportObservers((contact,))
        )
        joined = codec.encode(servers.JoinServer(fleet.server()))
        await self.control.handle(None, log_messages.Announce(joined, False))

    async def run_for(self, seconds):
        """Let time pass, with a check after each step."""
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            self.control.observe_time()
            await self.control.check()

    def present(self):
        """Return how many sessions are open and servers are there."""
        state = self.node.state
        return len(state.sessions.by_vm), len(state.servers.by_id)

    async def test_resumed_leader_waits_for_leases_again(self):
        self.now_s += PAUSE_S
        await self.control.check()
        await self.run_for(tracker.LEASE_S - 1.0)
        self.assertEqual(self.present(), (1, 1))

    async def test_resumed_leader_with_successor_changes_nothing(self):
        self.now_s += PAUSE_S
        self.node.leads = False
        await self.run_for(PAUSE_S)
        self.assertEqual(self.present(), (1, 1))

    async def test_leader_paused_during_its_check_waits_for_leases(self):
        commit = self.node.propose

        async def pause(command):
            self.now_s += PAUSE_S
            return await commit(command)

        await self.run_for(tracker.LEASE_S)
        self.now_s += STEP_S
        with mock.patch.object(self.node, 'propose', pause):
            await self.control.check()
        self.assertEqual(self.present(), (1, 0))

    async def test_silent_session_and_server_end_after_their_leases(self):
        await self.run_for(tracker.LEASE_S + 1.0)
        self.assertEqual(self.present(), (1, 0))
        await self.run_for(leases.SESSION_LEASE_S)
        self.assertEqual(self.present(), (0, 0))
