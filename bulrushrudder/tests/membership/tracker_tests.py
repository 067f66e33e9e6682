import unittest

from bulrushrudder.membership import tracker
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet


class TrackerTests(unittest.TestCase):
    def setUp(self):
        self.tracker = tracker.Tracker()
        self.table = servers.Servers()
        self.index = 0

    def announce(self, server, now_s, sequence=0, leaving=False):
        """Handle an announcement and commit the resulting commands."""
        event = tracker.Announced(server, leaving, sequence)
        commands = [
            action.command
            for action in self.tracker.handle(event, self.table.by_id, now_s)
        ]
        for command in commands:
            self.index += 1
            self.table.apply(self.index, command)
        return commands

    def test_late_announcement_changes_nothing(self):
        self.announce(fleet.server(kind='prefill'), 0.0, sequence=4)
        self.announce(fleet.server(kind='decode'), 1.0, sequence=5)
        late = self.announce(fleet.server(kind='prefill'), 2.0, sequence=4)
        self.assertEqual(late, [])
        self.assertEqual(self.table.by_id['decode-1'].kind, 'decode')

    def test_new_incarnation_restarts_sequence(self):
        self.announce(fleet.server(), 0.0, sequence=900)
        again = fleet.server(incarnation=2)
        self.assertEqual(len(self.announce(again, 1.0, sequence=1)), 1)

    def test_excluded_server_stays_out_until_exclusion_ends(self):
        server = fleet.server()
        self.announce(server, 0.0, sequence=1)
        self.tracker.exclude(server.id, 7.0)
        self.index += 1
        lose = servers.LoseServer(server.id, server.incarnation)
        self.table.apply(self.index, lose)
        self.announce(server, 3.0, sequence=2)
        self.assertEqual(self.table.by_id, {})
        self.announce(server, 7.5, sequence=3)
        self.assertIn(server.id, self.table.by_id)

    def test_excluded_server_may_leave(self):
        server = fleet.server()
        self.announce(server, 0.0, sequence=1)
        self.tracker.exclude(server.id, 7.0)
        left = self.announce(server, 1.0, sequence=2, leaving=True)
        self.assertEqual(len(left), 1)
        self.announce(server, 8.0, sequence=3)
        self.assertEqual(self.table.by_id, {})

    def test_readmitted_server_returns_with_next_announcement(self):
        server = fleet.server()
        self.announce(server, 0.0, sequence=1)
        self.tracker.exclude(server.id, 7.0)
        self.index += 1
        lose = servers.LoseServer(server.id, server.incarnation)
        self.table.apply(self.index, lose)
        self.tracker.readmit(server.id)
        self.announce(server, 3.5, sequence=2)
        self.assertIn(server.id, self.table.by_id)
