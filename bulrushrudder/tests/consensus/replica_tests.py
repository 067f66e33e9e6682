import unittest

from bulrushrudder.consensus import core
from bulrushrudder.consensus import events
from bulrushrudder.consensus import types
from bulrushrudder.tests.builders import cluster

THREE = ('a', 'b', 'c')
FIVE = ('a', 'b', 'c', 'd', 'e')


def led(addresses=THREE, seed=1):
    found = cluster.Cluster(addresses, seed)
    found.run(5.0)
    return found


class ReplicaTests(unittest.TestCase):
    def test_first_start(self):
        for addresses in (('a',), THREE, FIVE):
            with self.subTest(len(addresses)):
                led(addresses).check_converged()

    def test_no_log_is_founded_while_an_address_is_silent(self):
        found = cluster.Cluster(THREE, 1)
        found.kill('c')
        found.run(30.0)
        self.assertEqual(found.leaders(), [])
        found.start('c')
        found.run(5.0)
        found.check_converged()

    def test_wiped_disk_joins_under_a_new_id(self):
        found = led()
        for number in range(10):
            found.propose(found.leaders()[0], f'{number}'.encode())
            found.run(0.2)
        for address in THREE:
            found.wipe(address)
            found.run(1.0)
            found.start(address)
            found.run(10.0)
            found.check_converged()
        self.assertEqual(len(found.oracle.accepted), 10)

    def test_second_member_lost_right_after_a_repair(self):
        found = led()
        found.propose(found.leaders()[0], b'x')
        found.wipe('a')
        found.run(3.0)
        found.start('a')
        ids = {found.disks_by_address['a'].id}
        while not ids <= set(types.voters(self._members(found))):
            found.run(cluster.STEP_S)
        found.wipe('b')
        found.run(5.0)
        self.assertEqual(len(found.leaders()), 1)
        found.start('b')
        found.run(10.0)
        found.check_converged()

    def test_replaced_vm_has_another_address(self):
        found = led()
        found.propose(found.leaders()[0], b'x')
        found.run(1.0)
        found.wipe('c')
        found.addresses = ('a', 'b', 'd')
        for address in ('a', 'b', 'd'):
            found.kill(address)
            found.start(address)
            found.run(3.0)
        found.run(20.0)
        found.check_converged()

    def test_grows_from_one_to_five(self):
        found = led(('a',))
        found.propose('a', b'x')
        found.addresses = FIVE
        for address in FIVE:
            found.kill(address)
            found.start(address)
        found.run(20.0)
        found.check_converged()

    def test_leadership_is_handed_over_on_shutdown(self):
        found = led()
        (leader,) = found.leaders()
        process = found.processes_by_address[leader]
        process.inbox.append(events.HandOverAsked())
        found.run(core.ELECTION_S / 2)
        self.assertEqual(len(found.leaders()), 1)
        self.assertNotEqual(found.leaders(), [leader])

    def test_leader_without_quorum_steps_back(self):
        found = led()
        (leader,) = found.leaders()
        others = [a for a in THREE if a != leader]
        found.blocked = {(other, leader) for other in others}
        found.run(4.0)
        self.assertNotIn(leader, found.leaders())
        self.assertEqual(len(found.leaders()), 1)
        term = found.processes_by_address[others[0]].replica.term
        found.blocked = set()
        found.run(2.0)
        self.assertEqual(
            found.processes_by_address[others[0]].replica.term, term
        )

    def _members(self, found):
        leaders = found.leaders()
        if not leaders:
            return ()
        return found.processes_by_address[leaders[0]].replica.members
