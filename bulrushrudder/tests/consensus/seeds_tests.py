import unittest

from bulrushrudder.consensus import types
from bulrushrudder.tests.builders import cluster

SEEDS = ('a', 'b', 'c')
FIVE = ('a', 'b', 'c', 'd', 'e')
NINE = (*FIVE, 'f', 'g', 'h', 'i')
# A silent voter gives way after 2 s; its replacement then catches up.
REPLACEMENT_TIMEOUT_S = 6.0


def seeded_cluster(seed=1):
    """Return a cluster of five processes, three of them seeds."""
    group = cluster.Cluster(FIVE, seed, SEEDS)
    group.run(5.0)
    group.may_found = False
    return group


def voters(group):
    """Return the ids of the voters in the leader's configuration."""
    (leader,) = group.leaders()
    members = group.processes_by_address[leader].replica.members
    return set(types.voters(members))


def disk_ids(group, addresses):
    return {group.disks_by_address[address].id for address in addresses}


class SeedsTests(unittest.TestCase):
    def test_processes_not_listed_as_seeds_become_voters(self):
        for seed in range(5):
            with self.subTest(seed):
                group = seeded_cluster(seed)
                self.assertEqual(voters(group), disk_ids(group, FIVE))

    def test_empty_process_at_new_address_replaces_lost_voter(self):
        for lost in FIVE:
            with self.subTest(lost):
                group = seeded_cluster()
                (leader,) = group.leaders()
                group.propose(leader, b'change')
                group.run(1.0)
                group.wipe(lost)
                group.addresses = tuple(
                    'f' if address == lost else address for address in FIVE
                )
                group.start('f')
                group.run(REPLACEMENT_TIMEOUT_S)
                group.check_converged()

    def test_replaces_lost_voter_with_changed_seeds(self):
        group = seeded_cluster()
        group.seeds = ('d', 'e', 'f')
        group.wipe('a')
        group.addresses = ('b', 'c', 'd', 'e', 'f')
        group.start('f')
        group.run(REPLACEMENT_TIMEOUT_S)
        group.check_converged()

    def test_wiped_disk_at_known_address_joins_as_new_voter(self):
        group = seeded_cluster()
        before = disk_ids(group, 'a')
        group.wipe('a')
        group.start('a')
        group.run(REPLACEMENT_TIMEOUT_S)
        group.check_converged()
        self.assertNotEqual(disk_ids(group, 'a'), before)

    def test_voter_back_before_removal_timeout_stays_voter(self):
        group = seeded_cluster()
        group.kill('d')
        group.run(8.0)
        group.start('d')
        group.run(2.0)
        self.assertEqual(voters(group), disk_ids(group, FIVE))

    # Guards against a system that never starts because the founder ended
    # before it had founded the log.

    def test_founder_killed_before_it_founds_does_so_after_restart(self):
        for seed in range(5):
            with self.subTest(seed):
                group = cluster.Cluster(FIVE, seed, SEEDS)
                group.kill('a')
                group.run(1.0)
                group.may_found = False
                group.start('a')
                group.run(5.0)
                self.assertEqual(voters(group), disk_ids(group, FIVE))

    def test_next_seed_founds_when_the_first_has_lost_its_disk(self):
        for seed in range(20):
            for lost in ('a', 'ab'):
                for began_s in (0.0, 0.1, 0.3, 0.6):
                    with self.subTest(f'{seed} {lost} {began_s}'):
                        self.check_lost_founders(seed, lost, began_s)

    def check_lost_founders(self, seed, lost, began_s):
        group = cluster.Cluster(FIVE, seed, SEEDS)
        group.run(began_s)
        if group.oracle.committed():
            return
        group.may_found = False
        for address in lost:
            group.wipe(address)
            group.start(address)
        group.run(8.0)
        self.assertEqual(voters(group), disk_ids(group, FIVE))
        self.assertEqual(
            len(
                {
                    p.replica.cluster
                    for p in group.processes_by_address.values()
                }
            ),
            1,
        )

    def test_founds_no_second_log_when_all_disks_are_empty(self):
        group = seeded_cluster()
        for address in FIVE:
            group.wipe(address)
        for address in FIVE:
            group.start(address)
        group.run(10.0)
        self.assertEqual(group.leaders(), [])

    def check_lost_disks(self, addresses, lost, seed):
        """Lose disks while all other processes lose power.

        It happens at the moment at which a change is acknowledged.
        """
        group = cluster.Cluster(addresses, seed, SEEDS)
        group.run(5.0)
        group.may_found = False
        (leader,) = group.leaders()
        accepted = len(group.oracle.accepted)
        group.propose(leader, b'change')
        while len(group.oracle.accepted) == accepted:
            group.run(cluster.STEP_S)
        for address in addresses:
            group.kill(address)
        for address in lost:
            group.wipe(address)
        for address in addresses:
            group.start(address)
        group.run(2 * REPLACEMENT_TIMEOUT_S)
        group.check_converged()

    def test_change_outlives_lost_disk_when_all_others_lose_power(self):
        for seed in range(4):
            for lost in FIVE:
                with self.subTest(f'{seed} {lost}'):
                    self.check_lost_disks(FIVE, lost, seed)

    def test_change_outlives_two_of_nine_disks_when_all_lose_power(self):
        for seed, lost in enumerate(('ab', 'ad', 'de', 'hi', 'ci')):
            with self.subTest(f'{seed} {lost}'):
                self.check_lost_disks(NINE, lost, seed)

    def test_elects_leader_within_2_s_of_total_power_loss(self):
        for seed in range(10):
            with self.subTest(seed):
                group = seeded_cluster(seed)
                for address in FIVE:
                    group.kill(address)
                for address in FIVE:
                    group.start(address)
                group.run(2.0)
                self.assertEqual(len(group.leaders()), 1)
