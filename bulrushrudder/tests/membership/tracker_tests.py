import unittest

from bulrushrudder.membership import tracker
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet


class TrackerTests(unittest.TestCase):
    def setUp(self):
        self.found = tracker.Tracker()
        self.table = servers.Servers()
        self.index = 0

    def announce(self, server, now_s, sequence=0, leaving=False):
        """Hand an announcement in and commit what follows."""
        event = tracker.Announced(server, leaving, sequence)
        commands = [
            action.command
            for action in self.found.handle(event, self.table.by_id, now_s)
        ]
        for command in commands:
            self.index += 1
            self.table.apply(self.index, command)
        return commands

    def test_a_late_announcement_changes_nothing(self):
        self.announce(fleet.server(kind='prefill'), 0.0, sequence=4)
        self.announce(fleet.server(kind='decode'), 1.0, sequence=5)
        late = self.announce(fleet.server(kind='prefill'), 2.0, sequence=4)
        self.assertEqual(late, [])
        self.assertEqual(self.table.by_id['decode-1'].kind, 'decode')

    def test_a_new_incarnation_counts_from_the_start(self):
        self.announce(fleet.server(), 0.0, sequence=900)
        again = fleet.server(incarnation=2)
        self.assertEqual(len(self.announce(again, 1.0, sequence=1)), 1)

    def test_a_server_that_is_set_aside_stays_away_for_that_time(self):
        server = fleet.server()
        self.announce(server, 0.0, sequence=1)
        self.found.exclude(server.id, 7.0)
        self.index += 1
        lose = servers.LoseServer(server.id, server.incarnation)
        self.table.apply(self.index, lose)
        self.announce(server, 3.0, sequence=2)
        self.assertEqual(self.table.by_id, {})
        self.announce(server, 7.5, sequence=3)
        self.assertIn(server.id, self.table.by_id)

    def test_it_may_leave_all_the_same(self):
        server = fleet.server()
        self.announce(server, 0.0, sequence=1)
        self.found.exclude(server.id, 7.0)
        left = self.announce(server, 1.0, sequence=2, leaving=True)
        self.assertEqual(len(left), 1)
        self.announce(server, 8.0, sequence=3)
        self.assertEqual(self.table.by_id, {})

    def test_it_returns_at_once_when_it_is_taken_back(self):
        server = fleet.server()
        self.announce(server, 0.0, sequence=1)
        self.found.exclude(server.id, 7.0)
        self.index += 1
        lose = servers.LoseServer(server.id, server.incarnation)
        self.table.apply(self.index, lose)
        self.found.readmit(server.id)
        self.announce(server, 3.5, sequence=2)
        self.assertIn(server.id, self.table.by_id)
