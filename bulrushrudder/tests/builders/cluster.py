"""Consensus replicas on a simulated network and disks.

All delays are in virtual time, and all randomness comes from one seed.
"""

import dataclasses
import enum
import heapq
import itertools
import json
import random

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import core
from bulrushrudder.consensus import events
from bulrushrudder.consensus import replica
from bulrushrudder.consensus import types

STEP_S = 0.05
ROUNDS_PER_STEP = 3


class Crash(enum.Enum):
    """Point at which a process crashes while it handles its next batch."""

    BEFORE_SYNC = 'before sync'
    AFTER_SYNC = 'after sync'


class Disk:
    """The state of a member that survives a crash: whole, synced batches.

    :param may_found: whether the first start was permitted to found a log.
    """

    def __init__(self, member_id, may_found=True):
        self.id = types.MemberId(member_id)
        self.may_found = may_found
        self.durable = types.EMPTY_STATE

    def with_own_voter(self, members):
        """Return the members, with the one of this disk as a voter."""
        return tuple(
            dataclasses.replace(m, voter=m.voter or m.id == self.id)
            for m in members
        )

    def save(self, action):
        found = self.durable
        match action:
            case actions.SaveEntries(hard_state=hard_state, entries=entries):
                retained = list(found.entries)
                for entry in entries:
                    retained = [e for e in retained if e.index < entry.index]
                    retained.append(entry)
                self.durable = types.PersistentState(
                    hard_state, found.snapshot, tuple(retained)
                )
            case actions.SaveSnapshot():
                self.durable = types.PersistentState(
                    action.hard_state, action.snapshot, action.entries
                )


class Oracle:
    """Collects what members commit and checks it for contradictions.

    :ivar entries_by_index: the entries that any member has applied.
    :ivar accepted: data of the committed proposals, by index.
    """

    def __init__(self):
        self.entries_by_index = {}
        self.accepted = {}
        self.leaders_by_term = {}

    def record_applied(self, entry):
        known = self.entries_by_index.setdefault(entry.index, entry)
        if known != entry:
            raise AssertionError(
                f'{entry} applied where {known} was applied before'
            )

    def record_leader(self, cluster, term, member_id):
        known = self.leaders_by_term.setdefault((cluster, term), member_id)
        if known != member_id:
            raise AssertionError(
                f'two leaders in term {term}: {known} and {member_id}'
            )

    def committed(self):
        return list(self.entries_by_index.values())

    @property
    def last_accepted(self):
        return max(self.accepted, default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingProposal:
    """A proposal that a leader has appended but not yet committed."""

    term: int
    data: bytes


class Process:
    """One run of a member's process.

    :ivar offset_s: seconds by which its clock is ahead of the cluster's.
    :ivar crash: the Crash to simulate in the next batch, or None.
    :ivar checked_configuration: index of the last configuration change
        that was checked.
    :ivar min_read_indexes: per token of a read-index request, the last
        index accepted when the request was made.
    """

    def __init__(self, cluster, address, disk, draw):
        self.cluster = cluster
        self.disk = disk
        self.offset_s = 0.0
        self.crash = None
        self.checked_configuration = 0
        self.inbox = [events.Ticked()]
        self.history = restored_history(disk.durable.snapshot)
        self.pending_by_index = {}
        self.proposals = {}
        self.min_read_indexes = {}
        identity = cluster.identity(disk, address)
        self.replica = replica.Replica(
            identity, disk.durable, draw, cluster.now_s, retained_entries=3
        )

    def step(self):
        """Handle all events as one batch.

        State is synced to disk before any other action is performed.

        :returns: whether the process is still running.
        """
        batch = []
        for event in self.inbox:
            now_s = self.cluster.now_s + self.offset_s
            batch += self.replica.handle(event, now_s)
            self._check_configuration_change()
        self.inbox = []
        if self.crash is Crash.BEFORE_SYNC:
            return False
        for action in batch:
            self.disk.save(action)
        if self.crash is Crash.AFTER_SYNC:
            return False
        for action in batch:
            self._carry_out(action)
        if self.replica.role is core.Role.LEADER:
            member = self.replica
            self.cluster.oracle.record_leader(
                member.cluster, member.term, member.id
            )
        return True

    def _check_configuration_change(self):
        """Check that a leader changes the voters one at a time."""
        if self.replica.role is not core.Role.LEADER:
            return
        found = configurations(self.replica.log.entries)[-2:]
        if len(found) < 2 or found[-1][0] <= self.checked_configuration:
            return
        (previous_index, before), (self.checked_configuration, after) = found
        if self.replica.log.term_at(found[-1][0]) != self.replica.term:
            return
        if (
            previous_index > self.replica.commit_index
            or not self.replica.has_committed_in_term
        ):
            raise AssertionError(
                'change of members proposed while another is pending'
            )
        changed = set(types.voters(before)) ^ set(types.voters(after))
        if len(changed) > 1:
            raise AssertionError(
                f'one change concerns several voters: {changed}'
            )

    def _carry_out(self, action):
        oracle = self.cluster.oracle
        match action:
            case actions.Send(address=address, message=message):
                self.cluster.send(self, address, message)
            case actions.Apply(entries=entries):
                for entry in entries:
                    self._apply(entry)
            case actions.Restore(snapshot=snapshot):
                self._restore(snapshot)
            case actions.ProposalAppended(token=token, first=first, term=term):
                pending = PendingProposal(term, self.proposals.pop(token))
                self.pending_by_index[first] = pending
                self._accept_committed(first)
            case actions.MemberChanged():
                self.cluster.member_changes.append(action)
            case actions.ReadIndexConfirmed(token=token, index=index):
                if index < self.min_read_indexes.pop(token):
                    raise AssertionError(f'read index {index} is stale')
                if index > max(oracle.entries_by_index, default=0):
                    raise AssertionError(
                        f'read index {index} is not committed'
                    )

    def _apply(self, entry):
        self.cluster.oracle.record_applied(entry)
        if entry.index != len(self.history) + 1:
            raise AssertionError(f'entry {entry.index} applied out of order')
        self.history.append(label(entry))
        self._accept_committed(entry.index)

    def _accept_committed(self, index):
        """Accept the proposal at an index once its entry is applied.

        An entry of another term at this index has replaced the proposal.
        """
        pending = self.pending_by_index.get(index)
        if pending is None or index > len(self.history):
            return
        del self.pending_by_index[index]
        entry = self.cluster.oracle.entries_by_index[index]
        if entry.term == pending.term:
            self.cluster.oracle.accepted[index] = pending.data

    def _restore(self, snapshot):
        if snapshot.index <= len(self.history):
            raise AssertionError(
                f'snapshot at {snapshot.index} restored over newer state'
            )
        self.history = restored_history(snapshot)


def label(entry):
    match entry.payload:
        case types.Command(data=data):
            return data.decode()
        case types.Configuration():
            return 'configuration'
    return 'term start'


def restored_history(snapshot):
    return json.loads(snapshot.data) if snapshot.data else []


class Cluster:
    """Simulated processes and a network with injectable faults.

    :param addresses: all control addresses of the settings.
    :param seed: seed of delays, losses and election jitter.
    :param seeds: the addresses in the settings, if they list only some
        of the processes.
    :ivar may_found: whether a process that starts may found the log.
    :ivar blocked: pairs of sender and receiver that cannot communicate.
    :ivar late_s_by_address: seconds by which messages of a sender, as one
        with a slow disk, arrive later.
    :ivar member_changes: the MemberChanged actions of all leaders.
    """

    def __init__(self, addresses, seed, seeds=()):
        self.addresses = tuple(addresses)
        self.seeds = tuple(seeds)
        self.may_found = True
        self.random = random.Random(seed)
        self.oracle = Oracle()
        self.now_s = 0.0
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.02
        self.blocked = set()
        self.late_s_by_address = {}
        self.member_changes = []
        self.processes_by_address = {}
        self.disks_by_address = {}
        self._numbers = itertools.count(1)
        self._in_flight = []
        for address in addresses:
            self.start(address)

    def start(self, address):
        disk = self.disks_by_address.get(address)
        if disk is None:
            disk = Disk(f'disk-{next(self._numbers)}', self.may_found)
            self.disks_by_address[address] = disk
        self.processes_by_address[address] = Process(
            self, address, disk, self.random.random
        )

    def identity(self, disk, address):
        """Return the identity that the settings give a process."""
        return core.Identity(
            disk.id,
            address,
            self.seeds or self.addresses,
            disk.may_found,
            bool(self.seeds),
        )

    def kill(self, address):
        self.processes_by_address.pop(address, None)

    def wipe(self, address):
        self.kill(address)
        self.disks_by_address.pop(address, None)

    def may_wipe(self, address):
        """Return whether each quorum survives the loss of a disk."""
        lost = self.disks_by_address.get(address)
        if lost is None:
            return False
        living = {d.id for d in self.disks_by_address.values()} - {lost.id}
        in_force = self.configurations_in_force()
        return all(
            len(living.intersection(types.voters(members)))
            >= types.quorum(members)
            for members in (*in_force, *map(lost.with_own_voter, in_force))
        )

    def configurations_in_force(self):
        """Return the last committed configuration and all pending ones."""
        found_by_index = dict(configurations(self.oracle.committed()))
        last = max(found_by_index, default=0)
        found = [found_by_index[last]] if found_by_index else []
        for disk in self.disks_by_address.values():
            entries = disk.durable.entries
            found += [m for i, m in configurations(entries) if i > last]
        return found

    def send(self, process, address, message):
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            sender = process.replica._core.identity.address
            due_s = self.now_s + self.random.random() * self.delay_s
            due_s += self.late_s_by_address.get(sender, 0.0)
            packet = (due_s, next(self._numbers), sender, address, message)
            heapq.heappush(self._in_flight, packet)

    def run(self, seconds):
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            for process in self.processes_by_address.values():
                process.inbox.append(events.Ticked())
            for _ in range(ROUNDS_PER_STEP):
                self._deliver()
                self._step_all()

    def _deliver(self):
        while self._in_flight and self._in_flight[0][0] <= self.now_s:
            _, _, sender, address, message = heapq.heappop(self._in_flight)
            process = self.processes_by_address.get(address)
            if process and (sender, address) not in self.blocked:
                process.inbox.append(events.Received(message))

    def _step_all(self):
        for address, process in list(self.processes_by_address.items()):
            if not process.step():
                self.kill(address)

    def propose(self, address, data):
        process = self.processes_by_address[address]
        token = next(self._numbers)
        process.proposals[token] = data
        process.inbox.append(events.Proposed(token, (data,)))

    def request_read_index(self, address):
        process = self.processes_by_address[address]
        token = next(self._numbers)
        process.min_read_indexes[token] = self.oracle.last_accepted
        process.inbox.append(events.ReadIndexRequested(token))

    def take_snapshot(self, address):
        process = self.processes_by_address[address]
        data = json.dumps(process.history).encode()
        process.inbox.append(events.SnapshotTaken(len(process.history), data))

    def leaders(self):
        return [
            address
            for address, process in self.processes_by_address.items()
            if process.replica.has_committed_in_term
        ]

    def heal(self):
        self.loss = self.duplication = 0.0
        self.delay_s = 0.02
        self.blocked = set()
        for address in self.addresses:
            if address not in self.processes_by_address:
                self.start(address)
            self.processes_by_address[address].crash = None

    def check_converged(self):
        """Check that all members agree with the leader.

        The leader's history contains all accepted proposals, and the
        voters are the members at the current addresses.
        """
        voters = self.check_agreement()
        ids = {self.disks_by_address[a].id for a in self.addresses}
        if ids != voters:
            raise AssertionError(f'expected voters {ids}, got {voters}')

    def check_agreement(self):
        """Check that all members have the leader's history.

        :returns: the ids of the voters.
        """
        leaders = self.leaders()
        if len(leaders) != 1:
            raise AssertionError(f'expected one leader, got {leaders}')
        leader = self.processes_by_address[leaders[0]]
        for index, data in self.oracle.accepted.items():
            if leader.history[index - 1] != data.decode():
                raise AssertionError(
                    f'accepted {data} at index {index} was lost'
                )
        for address in self.addresses:
            process = self.processes_by_address[address]
            if process.history != leader.history:
                raise AssertionError(
                    f'history of {address} differs from the leader'
                )
        return set(types.voters(leader.replica.members))


def configurations(entries):
    """Return the index and members of each configuration entry."""
    return [
        (entry.index, entry.payload.members)
        for entry in entries
        if isinstance(entry.payload, types.Configuration)
    ]
