"""Machines that stop as planned, are paused, or are away for some time."""

import unittest

from bulrushrudder.tests.builders import replacements

REJOIN_S = 2.0


class DepartureTests(unittest.TestCase):
    # Guards against a machine that is taken out as planned, and still
    # counts as a voter when the next one may be lost.

    def check_planned(self, seed, leads):
        """Replace a machine, then lose power and another disk at once."""
        fleet = replacements.Fleet(3, 1, seed)
        fleet.propose()
        fleet.add()
        fleet.group.run(replacements.CATCH_UP_S)
        fleet.stop(fleet.group.leaders()[0] if leads else fleet.others()[0])
        fleet.check_losses_tolerated()
        fleet.lose_power(fleet.pick())

    def test_planned_departure_leaves_the_quorum_at_once(self):
        for leads in (False, True):
            for seed in range(10):
                with self.subTest(f'{leads} {seed}'):
                    self.check_planned(seed, leads)

    def test_process_that_stops_gets_entries_until_it_ends(self):
        fleet = replacements.Fleet(5, 1, seed=1)
        fleet.add()
        fleet.group.run(replacements.CATCH_UP_S)
        stopping = fleet.others()[0]
        fleet.announce_stop(stopping)
        fleet.group.run(REJOIN_S)
        process = fleet.group.processes_by_address[stopping]
        self.assertNotIn(process.replica.id, fleet.voters())
        fleet.propose()
        fleet.group.run(1.0)
        fleet.group.check_agreement()

    def test_process_that_is_started_again_is_a_voter_again(self):
        for size in (5, 6):
            with self.subTest(size):
                fleet = replacements.Fleet(size, 1, seed=1)
                restarted = fleet.others()[0]
                fleet.announce_stop(restarted)
                fleet.group.run(replacements.STOP_S)
                fleet.group.kill(restarted)
                fleet.group.run(1.0)
                fleet.group.start(restarted)
                fleet.group.run(REJOIN_S)
                self.assertEqual(fleet.voters(), fleet.disk_ids())


class AwayTests(unittest.TestCase):
    # Guards against a group that shrinks while machines are away, until
    # single disks hold what was acknowledged.

    def test_planned_stop_of_all_keeps_all_voters(self):
        for size in (3, 5, 9):
            for pause_s in (0.1, 1.0, 3.0):
                with self.subTest(f'{size} {pause_s}'):
                    self.check_stop_of_all(size, pause_s)

    def check_stop_of_all(self, size, pause_s):
        fleet = replacements.Fleet(size, 1, seed=1)
        voters = fleet.voters()
        for address in fleet.machines:
            fleet.announce_stop(address)
            fleet.group.run(replacements.STOP_S)
            fleet.group.kill(address)
            fleet.group.run(pause_s)
        fleet.group.member_changes.clear()
        for address in fleet.machines:
            fleet.group.start(address)
        fleet.group.run(replacements.CATCH_UP_S)
        self.assertEqual(fleet.voters(), voters)
        self.assertEqual(fleet.group.member_changes, [])

    def test_paused_voter_without_successor_stays_voter(self):
        for seconds in (2.0, 3.0, 5.0, 8.0):
            with self.subTest(seconds):
                fleet = replacements.Fleet(5, 1, seed=1)
                fleet.group.member_changes.clear()
                fleet.pause(fleet.others()[0], seconds)
                fleet.group.run(REJOIN_S)
                self.assertEqual(fleet.group.member_changes, [])
                self.assertEqual(fleet.voters(), fleet.disk_ids())

    def test_paused_voter_that_gave_way_is_voter_again_soon(self):
        for seconds in (3.0, 5.0, 8.0):
            with self.subTest(seconds):
                fleet = replacements.Fleet(6, 1, seed=1)
                paused = fleet.others()[0]
                fleet.pause(paused, seconds)
                lost = fleet.group.disks_by_address[paused].id
                self.assertNotIn(lost, fleet.voters())
                fleet.group.run(REJOIN_S)
                self.assertEqual(fleet.voters(), fleet.disk_ids())

    def test_machine_that_stalls_repeatedly_loses_its_vote_thrice_at_most(
        self,
    ):
        fleet = replacements.Fleet(6, 1, seed=1)
        stalling = fleet.others()[0]
        for _ in range(10):
            fleet.pause(stalling, 3.0)
            fleet.group.run(1.0)
        member = fleet.group.disks_by_address[stalling].id
        kinds = [c.change.value for c in fleet.changes_of(member)]
        self.assertLessEqual(kinds.count('demoted'), 3)
        fleet.group.run(3 * replacements.CATCH_UP_S)
        self.assertEqual(fleet.voters(), fleet.disk_ids())
