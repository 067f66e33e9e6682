"""State and constants shared by the parts of a replica."""

import dataclasses
import enum

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import log
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types

HEARTBEAT_INTERVAL_S = 0.15
ELECTION_TIMEOUT_S = 0.7
ELECTION_JITTER_S = 0.7
# A process that starts with a log has usually lost power together with all
# others, so it campaigns early. If there is a leader, the pre-vote is
# refused and has no effect.
FIRST_ELECTION_TIMEOUT_S = 0.25
FIRST_ELECTION_JITTER_S = 0.35


class Role(enum.Enum):
    """The Raft role of a replica."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The identity and configured addresses of a replica.

    :param address: the address on which it listens.
    :param addresses: all control addresses in the settings.
    :param may_found: whether it may found a log. False once the system
        has run, so that an empty disk never founds a second log.
    :param seeded: whether the addresses are seeds that name only some
        members, so that any process that asks may join.
    """

    id: types.MemberId
    address: str
    addresses: tuple[str, ...]
    may_found: bool = True
    seeded: bool = False


class Core:
    """State of a replica, with the operations that its parts share.

    :param identity: the Identity of the replica.
    :param durable: the persistent state read from its disk.
    :param draw: function that returns a random number from 0 to 1.
    :param now_s: monotonic seconds.
    """

    def __init__(self, identity, durable, draw, now_s):
        self.identity = identity
        self.hard_state = durable.hard_state
        self.log = log.Log(durable.snapshot, durable.entries)
        self.commit_index = durable.snapshot.index
        self.role = Role.FOLLOWER
        self.leader = None
        self.leadership = None
        self.last_leader_contact_s = None
        self._former_leader = None
        self.votes = set()
        self.pre_vote = True
        self.pre_vote_choice = None
        self.departing = False
        self.actions = []
        self.now_s = now_s
        self.deadline_s = now_s
        self._draw = draw
        self._schedule_first_election()

    @property
    def id(self):
        """Return the id of this member."""
        return self.identity.id

    @property
    def members(self):
        """Return the members of the latest configuration in the log.

        As in Raft, it takes effect before it is committed.
        """
        return self.log.members()

    @property
    def is_voter(self):
        """Return whether this member votes and counts for a quorum."""
        return self.id in types.voters(self.members)

    def header(self, term=None, target=''):
        """Return the header for a message from this member."""
        return messages.Header(
            cluster=self.hard_state.cluster,
            term=self.hard_state.term if term is None else term,
            sender=self.id,
            address=self.identity.address,
            target=target,
        )

    def send(self, address, message):
        """Add a Send action."""
        self.actions.append(actions.Send(address, message))

    def save(self, entries=(), **changes):
        """Append entries, update the hard state and persist both."""
        self.hard_state = dataclasses.replace(self.hard_state, **changes)
        self.log.append(entries)
        self.actions.append(
            actions.SaveEntries(self.hard_state, tuple(entries))
        )

    def _schedule_first_election(self):
        """Set the first election timer.

        With an empty log, the ordinary timeout applies: the member waits
        for a founder.
        """
        if self.log.is_empty:
            self.reset_election_timer()
            return
        jitter_s = FIRST_ELECTION_JITTER_S * self._draw()
        self.deadline_s = self.now_s + FIRST_ELECTION_TIMEOUT_S + jitter_s

    def reset_election_timer(self):
        """Restart the election timer with random jitter."""
        jitter_s = ELECTION_JITTER_S * self._draw()
        self.deadline_s = self.now_s + ELECTION_TIMEOUT_S + jitter_s

    def become_follower(self, term, leader):
        """Become a follower in a term.

        :param leader: the id of the leader, or None if it is unknown.
        """
        if term > self.hard_state.term:
            self.save(term=term, vote='')
        self._end_leadership()
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes = set()

    def record_leader_contact(self):
        """Record that the leader, which is another member, was heard."""
        self.last_leader_contact_s = self.now_s
        self._former_leader = self.leader
        self.reset_election_timer()

    def take_former_leader(self):
        """Return when the leader before this one was heard, by its id."""
        former, self._former_leader = self._former_leader, None
        return {} if former is None else {former: self.last_leader_contact_s}

    def has_recent_leader(self):
        """Return whether a leader was active within ELECTION_TIMEOUT_S."""
        if self.role is Role.LEADER:
            return True
        if self.last_leader_contact_s is None:
            return False
        return self.now_s - self.last_leader_contact_s < ELECTION_TIMEOUT_S

    def commit_to(self, index):
        """Advance the commit index and apply the committed entries."""
        if index <= self.commit_index:
            return
        entries = self.log.after(self.commit_index, index - self.commit_index)
        self.commit_index = index
        self.actions.append(actions.Apply(tuple(entries)))

    def _end_leadership(self):
        if self.leadership is None:
            return
        for read in self.leadership.pending_reads:
            self.actions.append(actions.NotLeader(read.token))
        self.leadership = None
