"""The follower's side of replication."""

import dataclasses

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types


@dataclasses.dataclass(slots=True)
class Incoming:
    """A snapshot of which some parts have come."""

    index: int
    term: int
    data: bytearray


class Following:
    """Takes entries and snapshots from the leader."""

    def __init__(self):
        self._incoming = None

    def append(self, core, message):
        """Take entries of the leader."""
        if not _hear(core, message):
            return
        previous = message.previous_index
        if previous > core.log.last_index:
            _answer(core, message, False, core.log.last_index)
            return
        if not _agrees(core, previous, message.previous_term):
            _answer(core, message, False, previous - 1)
            return
        _store(core, message.entries)
        agreed = previous + len(message.entries)
        core.commit_to(min(message.commit, agreed))
        _answer(core, message, True, agreed)

    def take_part(self, core, message):
        """Take a part of a snapshot of the leader."""
        if not _hear(core, message):
            return
        if message.index <= core.commit:
            self._incoming = None
            _answer(core, message, True, core.commit)
            return
        incoming = self._matching(message)
        if message.offset == len(incoming.data):
            incoming.data += message.data
        if len(incoming.data) < message.total:
            answer = messages.SnapshotPartTaken(
                core.head(), message.index, len(incoming.data), message.round
            )
            core.send(message.head.address, answer)
            return
        self._incoming = None
        _install(core, message, bytes(incoming.data))
        _answer(core, message, True, message.index)

    def _matching(self, message):
        found = self._incoming
        if found is None or (found.index, found.term) != (
            message.index,
            message.snapshot_term,
        ):
            found = Incoming(message.index, message.snapshot_term, bytearray())
            self._incoming = found
        return found


def _hear(core, message):
    """Follow the sender, unless its term is over."""
    head = message.head
    if head.term < core.ballot.term:
        _answer(core, message, False, 0)
        return False
    if core.role is core_types.Role.LEADER and head.term == core.ballot.term:
        raise AssertionError(f'two leaders in term {head.term}')
    core.follow(head.term, head.sender)
    core.heard_leader_s = core.now_s
    core.rest()
    return True


def _agrees(core, index, term):
    if index < core.commit:
        return True
    return core.log.term_at(index) == term


def _store(core, entries):
    fresh = [e for e in entries if e.index > core.commit]
    while fresh and core.log.term_at(fresh[0].index) == fresh[0].term:
        del fresh[0]
    if fresh:
        core.save(fresh)


def _install(core, message, data):
    snapshot = types.Snapshot(
        message.index, message.snapshot_term, message.members, data
    )
    core.log.replace(snapshot)
    core.commit = message.index
    core.actions.append(
        actions.SaveSnapshot(core.ballot, snapshot, tuple(core.log.entries))
    )
    core.actions.append(actions.Restore(snapshot))


def _answer(core, message, agreed, index):
    answer = messages.Appended(core.head(), agreed, index, message.round)
    core.send(message.head.address, answer)
