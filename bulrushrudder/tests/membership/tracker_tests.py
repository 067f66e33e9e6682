import unittest

from bulrushrudder.membership import tracker
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import cold_fleet
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

    def lost(self, now_s):
        """Return the ids of the servers whose lease has expired."""
        proposed = self.tracker.handle(
            tracker.Ticked(), self.table.by_id, now_s
        )
        return [action.command.id for action in proposed]

    # Guards against a leader that stood still and expels all servers,
    # before it has read their announcements.
    def test_standstill_of_tracker_does_not_use_up_leases(self):
        server = fleet.server()
        self.announce(server, 0.0, sequence=1)
        self.assertEqual(self.lost(1.0), [])
        after_s = 1.0 + 2 * tracker.LEASE_S
        self.assertEqual(self.lost(after_s), [])
        self.announce(server, after_s, sequence=2)
        self.assertEqual(self.lost(after_s + tracker.LEASE_S), [])

    def test_server_that_is_silent_after_standstill_is_lost(self):
        server = fleet.server()
        self.announce(server, 0.0, sequence=1)
        self.lost(1.0)
        now_s = 1.0 + 2 * tracker.LEASE_S
        ends_s = now_s + tracker.LEASE_S - 1.0
        while now_s < ends_s:
            self.assertEqual(self.lost(now_s), [])
            now_s += 0.25
        self.assertEqual(self.lost(now_s + 0.25), [server.id])

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

    def take_over(self, now_s):
        """Track as a new leader, which has only the replicated state."""
        exclusions = tuple(self.table.exclusions_by_id.values())
        self.tracker = tracker.Tracker(exclusions, now_s)

    def exclude_prefill(self, now_s):
        """Exclude a prefill server for 7 s, as for a change of its kind."""
        server = fleet.server(kind='prefill')
        self.announce(server, now_s, sequence=1)
        self.tracker.exclude(server.id, now_s + 7.0)
        self.index += 1
        lose = servers.LoseServer(
            server.id, server.incarnation, 7.0, server.kind
        )
        self.table.apply(self.index, lose)
        return server

    # Guards against a leader that takes over while servers change their
    # kind and lets them join as what they were: such a server rejects all
    # requests, and each rejection made its callers try another server.
    def test_new_leader_keeps_excluded_server_out(self):
        server = self.exclude_prefill(0.0)
        self.take_over(2.0)
        self.announce(server, 3.0, sequence=2)
        self.assertEqual(self.table.by_id, {})
        self.announce(server, 9.5, sequence=3)
        self.assertIn(server.id, self.table.by_id)

    def test_new_leader_admits_excluded_server_with_its_new_kind(self):
        self.exclude_prefill(0.0)
        self.take_over(2.0)
        changed = fleet.server(kind='decode')
        self.announce(changed, 6.0, sequence=2)
        self.assertEqual(self.table.by_id[changed.id].kind, 'decode')

    def test_exclusion_survives_snapshot(self):
        server = self.exclude_prefill(0.0)
        restored = servers.Servers()
        restored.restore(self.table.snapshot())
        self.table = restored
        self.take_over(2.0)
        self.announce(server, 3.0, sequence=2)
        self.assertEqual(self.table.by_id, {})

    def test_server_that_has_joined_again_is_not_excluded_any_more(self):
        server = self.exclude_prefill(0.0)
        self.announce(server, 8.0, sequence=2)
        self.take_over(9.0)
        renamed = fleet.server(kind='prefill', incarnation=2)
        self.announce(renamed, 9.5, sequence=1)
        self.assertEqual(self.table.by_id[server.id], renamed)

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


class ColdTests(unittest.TestCase):
    def setUp(self):
        self.tracker = tracker.Tracker()
        self.table = servers.Servers()
        self.sequence = 0

    def announce(self, now_s, cold, **changes):
        """Handle an announcement; return the number of log entries."""
        self.tracker.handle(tracker.Ticked(), self.table.by_id, now_s)
        self.sequence += 1
        server = cold_fleet.cold_server('decode-1', cold, **changes)
        event = tracker.Announced(server, False, self.sequence)
        proposed = self.tracker.handle(event, self.table.by_id, now_s)
        for action in proposed:
            self.table.apply(self.sequence, action.command)
        return len(proposed)

    @property
    def cold(self):
        return self.table.by_id['decode-1'].cold

    def test_announcements_become_entries_only_at_the_turn(self):
        states = [True, True, True, False, False, False, True, True, False]
        entries = [
            self.announce(float(number), cold)
            for number, cold in enumerate(states)
        ]
        self.assertEqual(entries, [1, 0, 0, 1, 0, 0, 1, 0, 1])
        self.assertFalse(self.cold)

    def test_server_that_starts_warm_never_counts_as_cold(self):
        self.assertEqual(self.announce(0.0, False), 1)
        self.assertFalse(self.cold)

    def test_new_incarnation_begins_as_it_announces(self):
        self.announce(0.0, False)
        self.announce(1.0, True, incarnation=2)
        self.assertTrue(self.cold)

    # Guards against an announcement on its way when a zone is restored,
    # which was sent before the server became cold.
    def test_restored_zone_is_cold_until_a_later_announcement(self):
        self.announce(0.0, False)
        self.table.mark_zone_cold('b')
        self.assertFalse(self.cold)
        self.table.mark_zone_cold('a')
        self.assertTrue(self.cold)
        self.assertEqual(self.announce(0.1, False), 0)
        self.assertTrue(self.cold)
        self.assertEqual(self.announce(1.2, False), 1)
        self.assertFalse(self.cold)

    def test_restored_zone_that_is_cold_stays_so_until_it_says_otherwise(
        self,
    ):
        self.announce(0.0, False)
        self.table.mark_zone_cold('a')
        entries = [self.announce(float(n), True) for n in range(1, 6)]
        self.assertEqual(entries, [0] * 5)
        self.assertTrue(self.cold)
        self.announce(6.0, False)
        self.assertFalse(self.cold)

    def test_restored_zone_keeps_limits_and_servers_that_are_never_cold(self):
        self.announce(0.0, False)
        self.table.apply(2, servers.SetServerLimit('decode-1', 1, 2.5))
        self.table.apply(3, servers.JoinServer(fleet.server('decode-2')))
        self.table.mark_zone_cold('a')
        known = self.table.by_id['decode-1']
        self.assertEqual(self.table.requests_per_s(known), 2.5)
        self.assertIsNone(self.table.by_id['decode-2'].cold)
        self.assertEqual(self.table.count_cold(), 1)

    # Guards against a log that grows with each announcement while processes
    # of two versions pass them on in turn.
    def test_announcement_by_an_earlier_version_changes_nothing(self):
        self.announce(0.0, True)
        for number in range(1, 6):
            entries = self.announce(
                float(number), None, cold_requests_per_s=0.0
            )
            self.assertEqual(entries, 0)
        self.assertTrue(self.cold)

    def test_new_leader_believes_a_server_only_after_a_moment(self):
        self.announce(0.0, True)
        self.tracker = tracker.Tracker()
        self.assertEqual(self.announce(5.0, False), 0)
        self.assertEqual(self.announce(6.1, False), 1)
