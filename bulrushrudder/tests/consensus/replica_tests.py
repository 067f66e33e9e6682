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


def cluster_with_leader(addresses=THREE, seed=1):
    group = cluster.Cluster(addresses, seed)
    group.run(5.0)
    return group


def restarted_replica(disk):
    identity = core.Identity(disk.id, disk.id, THREE)
    return replica.Replica(identity, disk.durable, lambda: 0.0, 0.0)


def disk_of_three(member_id, *entries):
    """Return a disk whose log has a configuration, then the entries."""
    members = tuple(types.Member(id_, id_, voter=True) for id_ in THREE)
    first = types.Entry(1, 1, types.Configuration(members))
    disk = cluster.Disk(member_id)
    hard_state = types.HardState('a', 3, '')
    disk.durable = types.PersistentState(
        hard_state, types.NO_SNAPSHOT, (first, *entries)
    )
    return disk


def header(term, sender):
    return messages.Header('a', term, sender, sender, '')


def deliver(member, disk, message, now_s=1.0):
    """Deliver a message and return the messages sent in response."""
    batch = member.handle(events.Received(message), now_s)
    for action in batch:
        disk.save(action)
    return [a.message for a in batch if isinstance(a, actions.Send)]


class SafetyRuleTests(unittest.TestCase):
    def test_votes_for_one_candidate_per_term_across_restarts(self):
        disk = disk_of_three('b')
        for candidate, granted in (('a', True), ('c', False), ('a', True)):
            request = messages.VoteRequest(
                header(5, candidate), 9, 5, False, False
            )
            member = restarted_replica(disk)
            (response,) = deliver(member, disk, request)
            self.assertEqual(response.granted, granted, candidate)

    def test_majority_alone_does_not_commit_entry_of_older_term(self):
        older = types.Entry(2, 2, types.Command(b'x'))
        disk = disk_of_three('a', older)
        member = restarted_replica(disk)
        member.handle(events.Ticked(), core.ELECTION_TIMEOUT_S)
        deliver(
            member, disk, messages.VoteResponse(header(4, 'b'), True, True)
        )
        deliver(
            member, disk, messages.VoteResponse(header(4, 'b'), True, False)
        )
        self.assertEqual((member.role, member.term), (core.Role.LEADER, 4))
        deliver(
            member, disk, messages.AppendResponse(header(4, 'b'), True, 2, 0)
        )
        self.assertEqual(member.commit_index, 0)
        deliver(
            member, disk, messages.AppendResponse(header(4, 'b'), True, 3, 0)
        )
        self.assertEqual(member.commit_index, 3)

    def test_rejects_entries_after_conflicting_entry(self):
        disk = disk_of_three('b', types.Entry(2, 2, types.Command(b'x')))
        member = restarted_replica(disk)
        after = (types.Entry(3, 4, types.Command(b'z')),)
        message = messages.AppendRequest(header(4, 'a'), 2, 3, after, 3, 0)
        (response,) = deliver(member, disk, message)
        self.assertEqual((response.success, response.index), (False, 1))
        self.assertEqual((member.commit_index, member.log.last_index), (0, 2))

    def test_refuses_vote_for_candidate_with_outdated_log(self):
        disk = disk_of_three('b', types.Entry(2, 2, types.Command(b'x')))
        for index, term, granted in (
            (1, 1, False),
            (9, 1, False),
            (1, 2, False),
            (2, 2, True),
            (1, 3, True),
        ):
            member = restarted_replica(disk)
            request = messages.VoteRequest(
                header(9, 'a'), index, term, True, False
            )
            (response,) = deliver(member, disk, request)
            self.assertEqual(response.granted, granted, (index, term))

    def test_read_index_waits_for_its_quorum_round(self):
        disk = disk_of_three('a')
        member = restarted_replica(disk)
        member.handle(events.Ticked(), core.ELECTION_TIMEOUT_S)
        deliver(
            member, disk, messages.VoteResponse(header(4, 'b'), True, True)
        )
        deliver(
            member, disk, messages.VoteResponse(header(4, 'b'), True, False)
        )
        deliver(
            member, disk, messages.AppendResponse(header(4, 'b'), True, 2, 0)
        )
        emitted = member.handle(events.ReadIndexRequested(7), 1.0)
        self.assertNotIn(actions.ReadIndexConfirmed(7, 2), emitted)
        for round_, confirmed in ((0, False), (1, True)):
            response = messages.AppendResponse(header(4, 'c'), True, 2, round_)
            batch = member.handle(events.Received(response), 1.0)
            self.assertEqual(
                actions.ReadIndexConfirmed(7, 2) in batch, confirmed
            )

    def test_empty_member_accepts_entries_only_from_its_founder(self):
        disk = cluster.Disk('b')
        member = restarted_replica(disk)
        first = disk_of_three('x').durable.entries
        late = messages.AppendRequest(header(1, 'old'), 0, 0, first, 0, 0)
        deliver(
            member, disk, messages.DiscoveryRequest(header(0, 'a'), 1, True)
        )
        self.assertEqual(disk.durable.hard_state.cluster, 'a')
        other = dataclasses.replace(late.header, cluster='old')
        deliver(member, disk, dataclasses.replace(late, header=other))
        self.assertEqual(member.log.last_index, 0)
        deliver(member, disk, late)
        self.assertEqual(member.log.last_index, 1)

    def test_leader_accepts_changes_again_after_failed_transfer(self):
        disk = disk_of_three('a')
        member = restarted_replica(disk)
        member.handle(events.Ticked(), core.ELECTION_TIMEOUT_S)
        for pre_vote in (True, False):
            vote = messages.VoteResponse(header(4, 'b'), True, pre_vote)
            deliver(member, disk, vote)
        response = messages.AppendResponse(header(4, 'b'), True, 2, 0)
        deliver(member, disk, response)
        member.handle(events.StopRequested(), 1.0)
        proposal = events.Proposed(7, (b'x',))
        self.assertIn(actions.NotLeader(7), member.handle(proposal, 1.1))
        for now_s in (1.5, 2.0, 2.5, 3.0, 3.5):
            deliver(member, disk, response, now_s)
            member.handle(events.Ticked(), now_s)
        batch = member.handle(proposal, 3.5)
        self.assertNotIn(actions.NotLeader(7), batch)

    def test_snapshot_chunks_of_two_leaders_are_not_mixed(self):
        disk = disk_of_three('b')
        member = restarted_replica(disk)
        members = disk.durable.entries[0].payload.members

        def chunk(term, leader, offset, data):
            return messages.SnapshotChunk(
                header(term, leader), 9, 3, members, offset, 8, data, 0
            )

        deliver(member, disk, chunk(4, 'a', 0, b'aaaa'))
        (response,) = deliver(member, disk, chunk(5, 'c', 0, b'cccc'))
        self.assertEqual(response.offset, 4)
        deliver(member, disk, chunk(5, 'c', 4, b'dddd'))
        self.assertEqual(disk.durable.snapshot.data, b'ccccdddd')


class ReplicaTests(unittest.TestCase):
    def test_new_cluster_elects_leader_and_converges(self):
        for addresses in (('a',), THREE, FIVE):
            with self.subTest(len(addresses)):
                cluster_with_leader(addresses).check_converged()

    def test_founds_no_log_while_an_address_is_unreachable(self):
        group = cluster.Cluster(THREE, 1)
        group.kill('c')
        group.run(30.0)
        self.assertEqual(group.leaders(), [])
        group.start('c')
        group.run(5.0)
        group.check_converged()

    def test_wiped_disk_joins_under_a_new_id(self):
        group = cluster_with_leader()
        for number in range(10):
            group.propose(group.leaders()[0], f'{number}'.encode())
            group.run(0.2)
        for address in THREE:
            group.wipe(address)
            group.run(1.0)
            group.start(address)
            group.run(10.0)
            group.check_converged()
        self.assertEqual(len(group.oracle.accepted), 10)

    def test_keeps_leader_when_second_member_is_lost_after_replacement(self):
        group = cluster_with_leader()
        group.propose(group.leaders()[0], b'x')
        group.wipe('a')
        group.run(3.0)
        group.start('a')
        ids = {group.disks_by_address['a'].id}
        while not ids <= set(types.voters(self._members(group))):
            group.run(cluster.STEP_S)
        group.wipe('b')
        group.run(5.0)
        self.assertEqual(len(group.leaders()), 1)
        group.start('b')
        group.run(10.0)
        group.check_converged()

    def test_replacement_vm_joins_at_new_address(self):
        group = cluster_with_leader()
        group.propose(group.leaders()[0], b'x')
        group.run(1.0)
        group.wipe('c')
        group.addresses = ('a', 'b', 'd')
        for address in ('a', 'b', 'd'):
            group.kill(address)
            group.start(address)
            group.run(3.0)
        group.run(20.0)
        group.check_converged()

    def test_keeps_leader_when_learner_dies_while_a_voter_is_down(self):
        group = cluster_with_leader()
        group.wipe('c')
        group.addresses = ('a', 'b', 'd')
        for address in group.addresses:
            group.kill(address)
            group.start(address)
        while len(self._members(group)) < 4:
            group.run(cluster.STEP_S)
        group.run(0.5)
        group.wipe('d')
        group.run(5.0)
        self.assertEqual(len(group.leaders()), 1)

    def test_grows_from_one_to_five_members(self):
        group = cluster_with_leader(('a',))
        group.propose('a', b'x')
        group.addresses = FIVE
        for address in FIVE:
            group.kill(address)
            group.start(address)
        group.run(20.0)
        group.check_converged()

    def test_transfers_leadership_on_shutdown(self):
        group = cluster_with_leader()
        (leader,) = group.leaders()
        process = group.processes_by_address[leader]
        process.inbox.append(events.StopRequested())
        group.run(core.ELECTION_TIMEOUT_S / 2)
        self.assertEqual(len(group.leaders()), 1)
        self.assertNotEqual(group.leaders(), [leader])

    def test_leader_without_quorum_steps_down(self):
        group = cluster_with_leader()
        (leader,) = group.leaders()
        others = [a for a in THREE if a != leader]
        group.blocked = {(other, leader) for other in others}
        group.run(4.0)
        self.assertNotIn(leader, group.leaders())
        self.assertEqual(len(group.leaders()), 1)
        term = group.processes_by_address[others[0]].replica.term
        group.blocked = set()
        group.run(2.0)
        self.assertEqual(
            group.processes_by_address[others[0]].replica.term, term
        )

    def _members(self, group):
        leaders = group.leaders()
        if not leaders:
            return ()
        return group.processes_by_address[leaders[0]].replica.members


class RetentionTests(unittest.TestCase):
    def retained(self, sizes, retained_bytes):
        """Return the indexes that a snapshot of the whole log retains."""
        entries = [
            types.Entry(index, 2, types.Command(bytes(size)))
            for index, size in enumerate(sizes, 2)
        ]
        disk = disk_of_three('a', *entries)
        identity = core.Identity(disk.id, disk.id, THREE)
        member = replica.Replica(
            identity,
            disk.durable,
            lambda: 0.0,
            0.0,
            retained_bytes=retained_bytes,
        )
        last = member.log.last_index
        size = member.compacted_bytes(last)
        member.handle(events.SnapshotTaken(last, b''), 0.0)
        retained = [e for e in member.log.entries if e.index <= last]
        self.assertEqual(size, sum(map(types.size, retained)))
        return [e.index for e in retained]

    def test_entries_before_a_snapshot_are_retained_up_to_a_size(self):
        # Guards against a log that keeps thousands of large entries.
        self.assertEqual(self.retained([10, 10, 10, 10], 25), [4, 5])
        self.assertEqual(self.retained([10, 10, 10, 30], 25), [])
        self.assertEqual(self.retained([10, 10], 25), [1, 2, 3])
