"""The follower's side of replication."""

import dataclasses

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types


@dataclasses.dataclass(slots=True)
class PartialSnapshot:
    """A snapshot that has been received in part.

    Members may encode the same state differently, so chunks of different
    leaders do not fit together.

    :param leader: the member that sends it.
    """

    index: int
    term: int
    leader: types.MemberId
    data: bytearray


class Follower:
    """Stores entries and snapshots from the leader."""

    def __init__(self):
        self._partial = None
        self._last_response = None

    def announce_departure(self, core):
        """Tell the leader that this process is about to stop.

        Repeats the last response, which holds as long as its term lasts.
        """
        sent = self._last_response
        if sent is not None and sent.message.header.term == (
            core.hard_state.term
        ):
            departing = dataclasses.replace(sent.message, departing=True)
            core.send(sent.address, departing)

    def handle_append(self, core, message):
        """Store entries from the leader and advance the commit index."""
        if not _accept_leader(core, message):
            self._respond(core, message, False, 0)
            return
        previous = message.previous_index
        if previous > core.log.last_index:
            self._respond(core, message, False, core.log.last_index)
            return
        if not _matches(core, previous, message.previous_term):
            self._respond(core, message, False, previous - 1)
            return
        _store_entries(core, message.entries)
        match_index = previous + len(message.entries)
        core.commit_to(min(message.commit_index, match_index))
        self._respond(core, message, True, match_index)

    def handle_chunk(self, core, message):
        """Store a chunk of the leader's snapshot; install it when whole."""
        if not _accept_leader(core, message):
            self._respond(core, message, False, 0)
            return
        if message.index <= core.commit_index:
            self._partial = None
            self._respond(core, message, True, core.commit_index)
            return
        partial = self._partial_for(message)
        if message.offset == len(partial.data):
            partial.data += message.data
        if len(partial.data) < message.total:
            response = messages.SnapshotChunkResponse(
                core.header(), message.index, len(partial.data), message.round
            )
            core.send(message.header.address, response)
            return
        self._partial = None
        _install_snapshot(core, message, bytes(partial.data))
        self._respond(core, message, True, message.index)

    def _partial_for(self, message):
        partial = self._partial
        identity = (
            message.index,
            message.snapshot_term,
            message.header.sender,
        )
        if partial is None or identity != (
            partial.index,
            partial.term,
            partial.leader,
        ):
            partial = self._partial = PartialSnapshot(*identity, bytearray())
        return partial

    def _respond(self, core, message, success, index):
        response = messages.AppendResponse(
            core.header(), success, index, message.round, core.departing
        )
        self._last_response = actions.Send(message.header.address, response)
        core.actions.append(self._last_response)


def _accept_leader(core, message):
    """Follow the sender, unless its term is older than this member's.

    :returns: whether the sender is the leader.
    """
    header = message.header
    if header.term < core.hard_state.term:
        return False
    if (
        core.role is core_types.Role.LEADER
        and header.term == core.hard_state.term
    ):
        raise AssertionError(
            f'two leaders in term {header.term}: {header.sender} and {core.id}'
        )
    core.become_follower(header.term, header.sender)
    core.record_leader_contact()
    return True


def _matches(core, index, term):
    if index < core.commit_index:
        return True
    return core.log.term_at(index) == term


def _store_entries(core, entries):
    new_entries = [e for e in entries if e.index > core.commit_index]
    while (
        new_entries
        and core.log.term_at(new_entries[0].index) == new_entries[0].term
    ):
        del new_entries[0]
    if new_entries:
        core.save(new_entries)


def _install_snapshot(core, message, data):
    snapshot = types.Snapshot(
        message.index, message.snapshot_term, message.members, data
    )
    core.log.install(snapshot)
    core.commit_index = message.index
    core.actions.append(
        actions.SaveSnapshot(
            core.hard_state, snapshot, tuple(core.log.entries)
        )
    )
    core.actions.append(actions.Restore(snapshot))
