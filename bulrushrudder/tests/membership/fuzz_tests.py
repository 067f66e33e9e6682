"""Property tests of membership with late and duplicate messages."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushrudder.membership import tracker
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet

IDS = ('decode-1', 'decode-2')
TICK_S = 0.5


class MembershipMachine(stateful.RuleBasedStateMachine):
    """A tracker, and an oracle of leaves, renewals and incarnations."""

    def __init__(self):
        super().__init__()
        self.table = servers.Servers()
        self.tracker = tracker.Tracker()
        self.now_s = 0.0
        self.leader_since_s = 0.0
        self.index = 0
        self.sent = []
        self.incarnations_by_id = dict.fromkeys(IDS, 1)
        self.left_by_id = dict.fromkeys(IDS, 0)
        self.newest_by_id = dict.fromkeys(IDS, 0)
        self.renewed_s_by_id = {}

    def handle(self, event):
        for action in self.tracker.handle(event, self.table.by_id, self.now_s):
            self.index += 1
            if isinstance(action.command, servers.LoseServer):
                assert self.now_s - self.leader_since_s > tracker.LEASE_S
            self.table.apply(self.index, action.command)

    def announce(self, event):
        server = event.server
        newest = self.newest_by_id[server.id]
        if server.incarnation >= newest:
            self.newest_by_id[server.id] = server.incarnation
            if event.leaving:
                self.left_by_id[server.id] = server.incarnation
            else:
                self.renewed_s_by_id[server.id] = self.now_s
        self.handle(event)
        if event.leaving or server.incarnation < newest:
            return
        if server.incarnation > self.left_by_id[server.id]:
            assert self.table.by_id[server.id].incarnation == (
                server.incarnation
            )

    @stateful.rule(
        server_id=strategies.sampled_from(IDS), leaving=strategies.booleans()
    )
    def send(self, server_id, leaving):
        incarnation = self.incarnations_by_id[server_id]
        event = tracker.Announced(
            fleet.server(server_id, incarnation=incarnation), leaving
        )
        self.sent.append(event)
        self.announce(event)

    @stateful.rule(data=strategies.data())
    def resend_late(self, data):
        if self.sent:
            self.announce(data.draw(strategies.sampled_from(self.sent)))

    @stateful.rule(server_id=strategies.sampled_from(IDS))
    def send_leave_before_join(self, server_id):
        self.incarnations_by_id[server_id] += 1
        self.send(server_id, True)

    @stateful.rule(server_id=strategies.sampled_from(IDS))
    def restart(self, server_id):
        self.incarnations_by_id[server_id] += 1

    @stateful.rule(ticks=strategies.integers(1, 9))
    def wait(self, ticks):
        for _ in range(ticks):
            self.now_s += TICK_S
            self.handle(tracker.Ticked())

    @stateful.rule()
    def change_leader(self):
        self.tracker = tracker.Tracker()
        self.leader_since_s = self.now_s
        restored = servers.Servers()
        restored.restore(self.table.snapshot())
        self.table = restored
        self.handle(tracker.Ticked())

    @stateful.invariant()
    def no_incarnation_that_left_or_is_outdated_is_present(self):
        for server in self.table.by_id.values():
            assert server.incarnation > self.left_by_id[server.id]
            assert server.incarnation == self.newest_by_id[server.id]

    @stateful.invariant()
    def silent_servers_are_removed_within_lease_and_two_ticks(self):
        bound_s = tracker.LEASE_S + 2 * TICK_S
        for server in self.table.by_id.values():
            last_s = max(self.renewed_s_by_id[server.id], self.leader_since_s)
            assert self.now_s - last_s <= bound_s

    @stateful.invariant()
    def indexes_agree(self):
        for server in self.table.by_id.values():
            for served in server.serves:
                assert self.table.by_served[served][server.id] == server
        count = sum(len(by_id) for by_id in self.table.by_served.values())
        assert count == len(self.table.by_id)


MembershipMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=30,
)


class MembershipFuzzTests(MembershipMachine.TestCase):
    pass


class IncarnationsTests(unittest.TestCase):
    def test_late_older_announcement_does_not_replace_lost_server(self):
        table = servers.Servers()
        server_tracker = tracker.Tracker()
        new = fleet.server(incarnation=2)
        old = fleet.server(incarnation=1)
        table.apply(1, servers.JoinServer(new))
        table.apply(2, servers.LoseServer(new.id, new.incarnation))
        (late,) = server_tracker.handle(
            tracker.Announced(old, False), table.by_id, 9.0
        )
        table.apply(3, late.command)
        self.assertEqual(table.by_id, {})
        table.apply(4, servers.JoinServer(new))
        self.assertEqual(table.by_id, {new.id: new})


class RepeatedAnnouncementsTests(unittest.TestCase):
    def test_rejected_announcements_are_proposed_once_per_lease(self):
        server_tracker = tracker.Tracker()
        table = servers.Servers()
        server = fleet.server()
        table.apply(1, servers.LeaveServer(server.id, server.incarnation))
        proposed = []
        for second in range(9):
            proposed += server_tracker.handle(
                tracker.Announced(server, False), table.by_id, float(second)
            )
        self.assertEqual(len(proposed), 3)
        outcome = table.apply(2, proposed[0].command)
        self.assertIsInstance(outcome, results.Rejected)


if __name__ == '__main__':
    unittest.main()
