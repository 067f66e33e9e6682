import types
import unittest

import logbook

from bulrushrudder.control import server
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import messages
from bulrushrudder.state import machine
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet


class FakeNode:
    """A Node that may lack a leader or a quorum."""

    def __init__(self, is_ready_leader, commits):
        self.is_ready_leader = is_ready_leader
        self.leader_address = None
        self.state = machine.State()
        self.replica = types.SimpleNamespace()
        self.commits = commits

    async def propose(self, command):
        if not self.commits:
            return results.Unavailable('no quorum')
        return self.state.apply(self.state.index + 1, command)


class AnnouncementTests(unittest.IsolatedAsyncioTestCase):
    async def announce(self, is_ready_leader, commits, leaving=False):
        node = FakeNode(is_ready_leader, commits)
        control = server.ControlProcess(lambda on_committed: node, None)
        joined = codec.encode(servers.JoinServer(fleet.server()))
        if leaving:
            node.state.apply(1, servers.JoinServer(fleet.server()))
        return await control.handle(
            None, log_messages.Announce(joined, leaving)
        )

    async def test_committed_announcement_is_acknowledged(self):
        answer = await self.announce(is_ready_leader=True, commits=True)
        self.assertEqual(answer, messages.Acknowledged())

    async def test_announcement_without_leader_is_refused(self):
        answer = await self.announce(is_ready_leader=False, commits=False)
        self.assertEqual(answer, log_messages.NotLeader())

    async def test_uncommitted_leave_is_refused(self):
        answer = await self.announce(True, False, leaving=True)
        self.assertEqual(answer, log_messages.NotLeader())

    async def test_leave_is_acknowledged_only_once_it_is_recorded(self):
        # Guards against a second leave that is acknowledged because the
        # first one was proposed, although it was not committed.
        for command in (
            servers.LeaveServer(fleet.server().id, 1),
            servers.JoinServer(fleet.server()),
        ):
            with self.subTest(command):
                node = FakeNode(True, commits=False)
                control = _control(node)
                leave = log_messages.Announce(codec.encode(command), True)
                for _ in range(2):
                    answer = await control.handle(None, leave)
                    self.assertEqual(answer, log_messages.NotLeader())
                node.commits = True
                answer = await control.handle(None, leave)
                self.assertEqual(answer, messages.Acknowledged())
                departed = node.state.servers.has_departed('decode-1', 1)
                self.assertTrue(departed)

    async def test_rejected_command_is_not_logged_as_joined_server(self):
        handler = logbook.TestHandler()
        node = FakeNode(True, True)
        control = server.ControlProcess(lambda on_committed: node, None)
        joined = codec.encode(servers.JoinServer(fleet.server()))
        left = servers.LeaveServer(fleet.server().id, 99)
        node.state.apply(1, left)
        with handler.applicationbound():
            await control.handle(None, log_messages.Announce(joined, False))
        names = [r.extra['event'].name for r in handler.records]
        self.assertNotIn('server joined', names)


def _control(node):
    return server.ControlProcess(lambda on_committed: node, None)
