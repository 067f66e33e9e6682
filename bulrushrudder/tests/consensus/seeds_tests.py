import unittest

from bulrushrudder.consensus import types
from bulrushrudder.tests.builders import cluster

SEEDS = ('a', 'b', 'c')
FIVE = ('a', 'b', 'c', 'd', 'e')
# A silent voter goes after 10 s; catching up takes little more.
REPLACED_S = 16.0


def started(seed=1):
    """Return five processes, of which three are seeds."""
    found = cluster.Cluster(FIVE, seed, SEEDS)
    found.run(5.0)
    found.may_found = False
    return found


def voters(found):
    """Return the ids of the voters, as the leader knows them."""
    (leader,) = found.leaders()
    members = found.processes_by_address[leader].replica.members
    return set(types.voters(members))


def disks(found, addresses):
    return {found.disks_by_address[address].id for address in addresses}


class SeedsTests(unittest.TestCase):
    def test_processes_that_no_settings_name_become_voters(self):
        for seed in range(5):
            with self.subTest(seed):
                found = started(seed)
                self.assertEqual(voters(found), disks(found, FIVE))

    def test_an_empty_process_at_a_new_address_takes_a_place(self):
        for gone in FIVE:
            with self.subTest(gone):
                found = started()
                (leader,) = found.leaders()
                found.propose(leader, b'change')
                found.run(1.0)
                found.wipe(gone)
                found.addresses = tuple(
                    'f' if address == gone else address for address in FIVE
                )
                found.start('f')
                found.run(REPLACED_S)
                found.check_converged()

    def test_with_other_seeds_too(self):
        found = started()
        found.seeds = ('d', 'e', 'f')
        found.wipe('a')
        found.addresses = ('b', 'c', 'd', 'e', 'f')
        found.start('f')
        found.run(REPLACED_S)
        found.check_converged()

    def test_a_wiped_disk_at_an_old_address_is_a_new_voter(self):
        found = started()
        before = disks(found, 'a')
        found.wipe('a')
        found.start('a')
        found.run(REPLACED_S)
        found.check_converged()
        self.assertNotEqual(disks(found, 'a'), before)

    def test_a_frozen_voter_that_is_back_in_time_stays_one(self):
        found = started()
        found.kill('d')
        found.run(8.0)
        found.start('d')
        found.run(2.0)
        self.assertEqual(voters(found), disks(found, FIVE))

    def test_where_all_disks_are_empty_no_second_log_is_founded(self):
        found = started()
        for address in FIVE:
            found.wipe(address)
        for address in FIVE:
            found.start(address)
        found.run(10.0)
        self.assertEqual(found.leaders(), [])

    def test_all_that_lost_power_lead_again_soon(self):
        for seed in range(10):
            with self.subTest(seed):
                found = started(seed)
                for address in FIVE:
                    found.kill(address)
                for address in FIVE:
                    found.start(address)
                found.run(2.0)
                self.assertEqual(len(found.leaders()), 1)
