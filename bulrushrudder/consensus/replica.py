"""A Raft member that turns events into actions."""

import dataclasses

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import discovery
from bulrushrudder.consensus import election
from bulrushrudder.consensus import events
from bulrushrudder.consensus import follower
from bulrushrudder.consensus import leadership
from bulrushrudder.consensus import liveness
from bulrushrudder.consensus import membership
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types

RETAINED_ENTRIES = 2000
RETAINED_BYTES = 2 * 1024 * 1024


class Replica:
    """A member of the log, free of I/O, clock and randomness.

    :param identity: the core.Identity of the process.
    :param durable: the persistent state read from its disk.
    :param draw: function that returns a random number from 0 to 1.
    :param now_s: monotonic seconds.
    :param retained_entries: number of entries retained before a
        snapshot's index, so that members that lag slightly need no
        snapshot.
    :param retained_bytes: maximum size of their commands.
    """

    def __init__(
        self,
        identity,
        durable,
        draw,
        now_s,
        retained_entries=RETAINED_ENTRIES,
        retained_bytes=RETAINED_BYTES,
    ):
        self._core = core_types.Core(identity, durable, draw, now_s)
        self._follower = follower.Follower()
        self._discovery = discovery.Discovery()
        self._retained_entries = retained_entries
        self._retained_bytes = retained_bytes

    @property
    def id(self):
        """Return the id of this member."""
        return self._core.id

    @property
    def role(self):
        """Return the Role of this replica."""
        return self._core.role

    @property
    def term(self):
        """Return the current term."""
        return self._core.hard_state.term

    @property
    def cluster(self):
        """Return the founder's id, or an empty string."""
        return self._core.hard_state.cluster

    @property
    def commit_index(self):
        """Return the index of the last entry known to be committed."""
        return self._core.commit_index

    @property
    def log(self):
        """Return the Log, which callers must not change."""
        return self._core.log

    @property
    def members(self):
        """Return the members of the latest configuration."""
        return self._core.members

    @property
    def leader(self):
        """Return the Member that is the leader, or None if unknown."""
        found = [m for m in self.members if m.id == self._core.leader]
        return found[0] if found else None

    @property
    def has_committed_in_term(self):
        """Return whether it leads and has committed an entry of its term.

        Only then does its commit index cover all entries committed by
        earlier leaders.
        """
        return leadership.has_committed_in_term(self._core)

    @property
    def tolerable_losses(self):
        """Return how many more voters may be lost so that a quorum remains.

        :returns: None if this replica does not lead.
        """
        if self._core.role is not core_types.Role.LEADER:
            return None
        return liveness.tolerable_losses(self._core, self.members)

    def set_control_addresses(self, addresses):
        """Replace the control addresses after the settings changed."""
        self._core.identity = dataclasses.replace(
            self._core.identity, addresses=addresses
        )

    def compacted_bytes(self, index):
        """Return the size of the log once a snapshot at an index is taken.

        :returns: bytes of the commands that remain.
        """
        remaining = self._core.log.after(self._retained_after(index))
        return sum(map(types.size, remaining))

    def is_responsive(self, member_id):
        """Return whether a member has responded to this leader recently."""
        return liveness.is_responsive(self._core, member_id)

    def match_index(self, member_id):
        """Return the last index up to which a member's log matches."""
        return leadership.match_index(self._core, member_id)

    def handle(self, event, now_s):
        """Handle an event.

        :param now_s: monotonic seconds.
        :returns: a list of actions.
        """
        core = self._core
        core.now_s = now_s
        match event:
            case events.Ticked():
                self._tick()
            case events.Received(message=message):
                self._receive(message)
            case events.Proposed():
                leadership.propose(core, event)
            case events.ReadIndexRequested():
                leadership.start_read(core, event)
            case events.SnapshotTaken():
                self._compact(event)
            case events.StopRequested():
                core.departing = True
                leadership.transfer(core)
                self._follower.announce_departure(core)
        emitted = core.actions
        core.actions = []
        return emitted

    def _tick(self):
        core = self._core
        if core.role is core_types.Role.LEADER:
            leadership.tick(core)
        else:
            election.tick(core)
        if core.role is core_types.Role.LEADER:
            membership.tick(core)
        self._discovery.tick(core)

    def _receive(self, message):
        core = self._core
        if message.header.target not in ('', core.id):
            self._discovery.learn_address(message.header.address)
            return
        match message:
            case messages.DiscoveryRequest():
                self._discovery.handle_request(core, message)
                return
            case messages.DiscoveryResponse():
                self._discovery.handle_response(core, message)
                return
        if message.header.cluster != core.hard_state.cluster:
            return
        if _advances_term(message, core.hard_state.term):
            core.become_follower(message.header.term, None)
        self._dispatch(message)

    def _dispatch(self, message):
        core = self._core
        match message:
            case messages.VoteRequest():
                election.handle_request(core, message)
            case messages.VoteResponse():
                election.handle_response(core, message)
            case messages.AppendRequest():
                self._follower.handle_append(core, message)
            case messages.AppendResponse():
                leadership.handle_append_response(core, message)
            case messages.SnapshotChunk():
                self._follower.handle_chunk(core, message)
            case messages.SnapshotChunkResponse():
                leadership.handle_chunk_response(core, message)
            case messages.TransferLeadership():
                election.handle_transfer(core, message)

    def _compact(self, event):
        core = self._core
        if event.index <= core.log.snapshot.index:
            return
        snapshot = types.Snapshot(
            event.index,
            core.log.term_at(event.index),
            core.log.members(event.index),
            event.data,
        )
        core.log.compact(snapshot, self._retained_after(event.index))
        core.actions.append(
            actions.SaveSnapshot(
                core.hard_state, snapshot, tuple(core.log.entries)
            )
        )

    def _retained_after(self, index):
        """Return the index after which a snapshot retains entries.

        :param index: index of the snapshot.
        """
        first = max(index - self._retained_entries, 0)
        lag = self._core.log.after(first, index - first)
        size = 0
        for entry in reversed(lag):
            size += types.size(entry)
            if size > self._retained_bytes:
                return entry.index
        return first


def _advances_term(message, term):
    """Return whether a message ends this member's current term.

    Vote requests are handled in the election; a granted pre-vote has the
    term of the next election, which has not begun.
    """
    if message.header.term <= term:
        return False
    match message:
        case messages.VoteRequest():
            return False
        case messages.VoteResponse(granted=True, pre_vote=True):
            return False
    return True
