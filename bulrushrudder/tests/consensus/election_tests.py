import unittest

from bulrushrudder.tests.builders import cluster

ELECTION_BOUND_S = 2.0


class ElectionTests(unittest.TestCase):
    # Guards against votes that split again and again where every voter
    # that is left is needed.

    def test_smallest_quorum_elects_leader_within_2_s(self):
        for size, lost in ((3, 1), (5, 2)):
            for seed in range(100):
                with self.subTest(f'{size} {seed}'):
                    self.check_election(size, lost, seed)

    def check_election(self, size, lost, seed):
        group = cluster.Cluster('abcde'[:size], seed)
        group.run(4.0)
        group.propose(group.leaders()[0], b'change')
        group.run(0.3 + seed % 7 / 10)
        (leader,) = group.leaders()
        others = [a for a in group.addresses if a != leader]
        for address in (leader, *others[: lost - 1]):
            group.kill(address)
        group.run(ELECTION_BOUND_S)
        self.assertEqual(len(group.leaders()), 1)
