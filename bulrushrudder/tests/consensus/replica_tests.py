import dataclasses
import unittest

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import core
from bulrushrudder.consensus import events
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import replica
from bulrushrudder.consensus import types
from bulrushrudder.tests.builders import cluster

THREE = ('a', 'b', 'c')
FIVE = ('a', 'b', 'c', 'd', 'e')


def led(addresses=THREE, seed=1):
    found = cluster.Cluster(addresses, seed)
    found.run(5.0)
    return found


def member_of_three(disk):
    identity = core.Identity(disk.id, disk.id, THREE)
    return replica.Replica(identity, disk.durable, lambda: 0.0, 0.0)


def disk_of_three(member_id, *entries):
    """Return a disk whose log holds a configuration, then entries."""
    members = tuple(types.Member(id_, id_, voter=True) for id_ in THREE)
    first = types.Entry(1, 1, types.Configuration(members))
    found = cluster.Disk(member_id)
    ballot = types.Ballot('a', 3, '')
    found.durable = types.Durable(ballot, types.NO_SNAPSHOT, (first, *entries))
    return found


def head(term, sender):
    return messages.Head('a', term, sender, sender, '')


def received(found, disk, message, now_s=1.0):
    """Hand in a message and return what is sent in answer."""
    batch = found.handle(events.Received(message), now_s)
    for action in batch:
        disk.save(action)
    return [a.message for a in batch if isinstance(a, actions.Send)]


class PromiseTests(unittest.TestCase):
    def test_vote_survives_a_restart(self):
        disk = disk_of_three('b')
        for candidate, granted in (('a', True), ('c', False), ('a', True)):
            question = messages.AskVote(head(5, candidate), 9, 5, False, False)
            found = member_of_three(disk)
            (answer,) = received(found, disk, question)
            self.assertEqual(answer.granted, granted, candidate)

    def test_older_entry_is_not_committed_by_count(self):
        older = types.Entry(2, 2, types.Command(b'x'))
        disk = disk_of_three('a', older)
        found = member_of_three(disk)
        found.handle(events.Ticked(), core.ELECTION_S)
        received(found, disk, messages.Voted(head(4, 'b'), True, True))
        received(found, disk, messages.Voted(head(4, 'b'), True, False))
        self.assertEqual((found.role, found.term), (core.Role.LEADER, 4))
        received(found, disk, messages.Appended(head(4, 'b'), True, 2, 0))
        self.assertEqual(found.commit, 0)
        received(found, disk, messages.Appended(head(4, 'b'), True, 3, 0))
        self.assertEqual(found.commit, 3)

    def test_entries_after_another_history_are_refused(self):
        disk = disk_of_three('b', types.Entry(2, 2, types.Command(b'x')))
        found = member_of_three(disk)
        after = (types.Entry(3, 4, types.Command(b'z')),)
        message = messages.Append(head(4, 'a'), 2, 3, after, 3, 0)
        (answer,) = received(found, disk, message)
        self.assertEqual((answer.agreed, answer.index), (False, 1))
        self.assertEqual((found.commit, found.log.last_index), (0, 2))

    def test_no_vote_for_a_log_that_lacks_entries(self):
        disk = disk_of_three('b', types.Entry(2, 2, types.Command(b'x')))
        for index, term, granted in (
            (1, 1, False),
            (9, 1, False),
            (1, 2, False),
            (2, 2, True),
            (1, 3, True),
        ):
            found = member_of_three(disk)
            question = messages.AskVote(head(9, 'a'), index, term, True, False)
            (answer,) = received(found, disk, question)
            self.assertEqual(answer.granted, granted, (index, term))

    def test_confirmation_waits_for_its_round(self):
        disk = disk_of_three('a')
        found = member_of_three(disk)
        found.handle(events.Ticked(), core.ELECTION_S)
        received(found, disk, messages.Voted(head(4, 'b'), True, True))
        received(found, disk, messages.Voted(head(4, 'b'), True, False))
        received(found, disk, messages.Appended(head(4, 'b'), True, 2, 0))
        asked = found.handle(events.ConfirmAsked(7), 1.0)
        self.assertNotIn(actions.Confirmed(7, 2), asked)
        for round_, confirmed in ((0, False), (1, True)):
            answer = messages.Appended(head(4, 'c'), True, 2, round_)
            batch = found.handle(events.Received(answer), 1.0)
            self.assertEqual(actions.Confirmed(7, 2) in batch, confirmed)

    def test_blank_member_takes_entries_of_its_founder_alone(self):
        disk = cluster.Disk('b')
        found = member_of_three(disk)
        first = disk_of_three('x').durable.entries
        late = messages.Append(head(1, 'old'), 0, 0, first, 0, 0)
        received(found, disk, messages.Discover(head(0, 'a'), 1, True))
        self.assertEqual(disk.durable.ballot.cluster, 'a')
        other = dataclasses.replace(late.head, cluster='old')
        received(found, disk, dataclasses.replace(late, head=other))
        self.assertEqual(found.log.last_index, 0)
        received(found, disk, late)
        self.assertEqual(found.log.last_index, 1)


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

    def test_newcomer_dies_while_a_voter_is_dead(self):
        found = led()
        found.wipe('c')
        found.addresses = ('a', 'b', 'd')
        for address in found.addresses:
            found.kill(address)
            found.start(address)
        while len(self._members(found)) < 4:
            found.run(cluster.STEP_S)
        found.run(0.5)
        found.wipe('d')
        found.run(5.0)
        self.assertEqual(len(found.leaders()), 1)

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
