"""One member of the replicated log: events in, actions out."""

import dataclasses

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import discovery
from bulrushrudder.consensus import election
from bulrushrudder.consensus import events
from bulrushrudder.consensus import following
from bulrushrudder.consensus import leadership
from bulrushrudder.consensus import membership
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types

KEEP_ENTRIES = 2000


class Replica:
    """A member of the log, free of I/O, clock and randomness.

    :param identity: the core.Identity of the process.
    :param durable: what stood on its disk.
    :param draw: function that returns a random number from 0 to 1.
    :param now_s: monotonic seconds.
    :param keep_entries: entries that stay in the log behind a snapshot,
        for members that lag a little.
    """

    def __init__(
        self, identity, durable, draw, now_s, keep_entries=KEEP_ENTRIES
    ):
        self._core = core_types.Core(identity, durable, draw, now_s)
        self._following = following.Following()
        self._discovery = discovery.Discovery()
        self._keep_entries = keep_entries

    @property
    def id(self):
        """Return the id of this member."""
        return self._core.id

    @property
    def role(self):
        """Return what this replica does now."""
        return self._core.role

    @property
    def term(self):
        """Return the latest term that was seen."""
        return self._core.ballot.term

    @property
    def cluster(self):
        """Return the founder's id, or an empty string."""
        return self._core.ballot.cluster

    @property
    def commit(self):
        """Return the index of the last entry known as committed."""
        return self._core.commit

    @property
    def log(self):
        """Return the Log; read only."""
        return self._core.log

    @property
    def members(self):
        """Return the latest configuration."""
        return self._core.members

    @property
    def leader(self):
        """Return the Member that leads, or None."""
        found = [m for m in self.members if m.id == self._core.leader]
        return found[0] if found else None

    @property
    def settled(self):
        """Return whether it leads and has committed in its term."""
        return leadership.settled(self._core)

    def lead_to(self, addresses):
        """Take the control addresses of new settings."""
        self._core.identity = dataclasses.replace(
            self._core.identity, addresses=addresses
        )

    def answers(self, member_id):
        """Return whether a member answers this leader now."""
        return membership.answers(self._core, member_id)

    def agreed_index(self, member_id):
        """Return up to where the leader knows a member's log."""
        return leadership.agreed_index(self._core, member_id)

    def handle(self, event, now_s):
        """Take an event.

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
            case events.ConfirmAsked():
                leadership.start_read(core, event)
            case events.StateSaved():
                self._compact(event)
            case events.HandOverAsked():
                leadership.transfer(core)
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
        if message.head.target not in ('', core.id):
            return
        match message:
            case messages.Discover():
                self._discovery.handle_request(core, message)
                return
            case messages.Discovered():
                self._discovery.handle_response(core, message)
                return
        if message.head.cluster != core.ballot.cluster:
            return
        if _advances_term(message, core.ballot.term):
            core.become_follower(message.head.term, None)
        self._dispatch(message)

    def _dispatch(self, message):
        core = self._core
        match message:
            case messages.AskVote():
                election.handle_request(core, message)
            case messages.Voted():
                election.handle_response(core, message)
            case messages.Append():
                self._following.handle_append(core, message)
            case messages.Appended():
                leadership.handle_append_response(core, message)
            case messages.SnapshotPart():
                self._following.handle_chunk(core, message)
            case messages.SnapshotPartTaken():
                leadership.handle_chunk_response(core, message)
            case messages.HandOver():
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
        core.log.compact(snapshot, event.index - self._keep_entries)
        core.actions.append(
            actions.SaveSnapshot(
                core.ballot, snapshot, tuple(core.log.entries)
            )
        )


def _advances_term(message, term):
    """Return whether a message ends the current term here."""
    if message.head.term <= term:
        return False
    match message:
        case messages.AskVote():
            return False
        case messages.Voted(granted=True, pre_vote=True):
            return False
    return True
