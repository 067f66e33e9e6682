"""The leader's side of replication."""

import collections

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import leader_state
from bulrushrudder.consensus import liveness
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types

MAX_ENTRIES_PER_MESSAGE = 512
MAX_BYTES_PER_MESSAGE = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
RESEND_TIMEOUT_S = 1.0
# A successor that got the order starts its election at once. Afterwards
# the leader accepts proposals again.
TRANSFER_TIMEOUT_S = 1.5


def become_leader(core):
    """Become the leader of the current term."""
    core.role = core_types.Role.LEADER
    core.leader = core.id
    core.leadership = leader_state.Leadership(
        term_start_index=core.log.last_index + 1,
        started_s=core.now_s,
        last_heartbeat_s=core.now_s,
        round=0,
        progress_by_id={},
        pending_reads=[],
        successor=None,
        newcomers_by_id={},
        heard_s_by_id=core.take_former_leader(),
        promotions_by_id=collections.Counter(),
    )
    append(core, [types.TermStart()])


def append(core, payloads):
    """Append entries in the leader's term and replicate them."""
    first = core.log.last_index + 1
    core.save(
        [
            types.Entry(first + offset, core.hard_state.term, payload)
            for offset, payload in enumerate(payloads)
        ]
    )
    _replicate(core)
    _advance_commit(core)


def change_members(core, members):
    """Append a configuration; forget the progress of removed members."""
    before = types.voters(core.members)
    promoted = set(types.voters(members)) - set(before)
    core.leadership.promotions_by_id.update(promoted)
    kept = {member.id for member in members}
    for member in core.members:
        if member.id not in kept:
            core.leadership.progress_by_id.pop(member.id, None)
    append(core, [types.Configuration(members)])


def propose(core, event):
    """Append the commands of a proposal, or decline it."""
    is_leader = core.role is core_types.Role.LEADER
    if not is_leader or core.leadership.successor is not None:
        core.actions.append(actions.NotLeader(event.token))
        return
    first = core.log.last_index + 1
    core.actions.append(
        actions.ProposalAppended(event.token, first, core.hard_state.term)
    )
    append(core, [types.Command(data) for data in event.commands])


def start_read(core, event):
    """Start a quorum round for a linearizable read, or decline it."""
    if not has_committed_in_term(core):
        core.actions.append(actions.NotLeader(event.token))
        return
    core.leadership.round += 1
    core.leadership.pending_reads.append(
        leader_state.PendingRead(
            event.token, core.leadership.round, core.commit_index
        )
    )
    _send_heartbeats(core)
    _resolve_reads(core)


def has_committed_in_term(core):
    """Return whether this leader has committed an entry of its term."""
    is_leader = core.role is core_types.Role.LEADER
    return is_leader and core.commit_index >= core.leadership.term_start_index


def tick(core):
    """Send heartbeats; step down without a quorum."""
    if not liveness.has_quorum(core):
        core.become_follower(core.hard_state.term, None)
        core.reset_election_timer()
        return
    _try_transfer(core)
    if (
        core.now_s - core.leadership.last_heartbeat_s
        >= core_types.HEARTBEAT_INTERVAL_S
    ):
        _send_heartbeats(core)


def match_index(core, member_id):
    """Return the last index up to which a member's log matches."""
    if member_id == core.id:
        return core.log.last_index
    known = core.leadership.progress_by_id.get(member_id)
    return known.match_index if known else 0


def handle_append_response(core, message):
    """Handle a follower's response to entries."""
    progress = _record_response(core, message)
    if progress is None:
        return
    progress.departing = message.departing
    if message.success and message.index > progress.match_index:
        progress.match_index = message.index
        progress.next_index = message.index + 1
        progress.in_flight_since_s = None
    if not message.success:
        next_index = min(message.index + 1, progress.next_index)
        progress.next_index = max(next_index, progress.match_index + 1)
        progress.in_flight_since_s = None
    _advance_commit(core)
    _resolve_reads(core)
    _send_missing(core, message.header.sender)


def handle_chunk_response(core, message):
    """Handle a follower's response to a snapshot chunk."""
    progress = _record_response(core, message)
    if progress is None:
        return
    _resolve_reads(core)
    if message.index == core.log.snapshot.index:
        progress.snapshot_offset = message.offset
        progress.in_flight_since_s = None
        _send_missing(core, message.header.sender)


def transfer(core):
    """Choose the most up-to-date live voter as successor.

    One that is about to stop itself is the last choice.
    """
    if core.role is not core_types.Role.LEADER:
        return
    others = [
        id_
        for id_ in types.voters(core.members)
        if id_ != core.id and liveness.is_live(core, id_)
    ]
    if not others:
        return
    core.leadership.successor = max(
        others,
        key=lambda id_: (
            not liveness.is_departing(core, id_),
            match_index(core, id_),
        ),
    )
    core.leadership.transfer_end_s = core.now_s + TRANSFER_TIMEOUT_S
    _try_transfer(core)


def _try_transfer(core):
    successor = core.leadership.successor
    if successor is None:
        return
    if core.now_s >= core.leadership.transfer_end_s:
        core.leadership.successor = None
        return
    all_committed = core.commit_index == core.log.last_index
    if all_committed and match_index(core, successor) == core.commit_index:
        address = _address(core, successor)
        header = core.header(target=successor)
        core.send(address, messages.TransferLeadership(header))


def _record_response(core, message):
    if core.role is not core_types.Role.LEADER:
        return None
    if message.header.term != core.hard_state.term:
        return None
    if message.header.sender not in {m.id for m in core.members}:
        return None
    progress = _progress(core, message.header.sender)
    if not liveness.is_live(core, message.header.sender):
        progress.steady_since_s = core.now_s
    progress.last_response_s = core.now_s
    progress.acknowledged_round = max(
        progress.acknowledged_round, message.round
    )
    return progress


def _progress(core, member_id):
    known = core.leadership.progress_by_id.get(member_id)
    if known is None:
        known = leader_state.Progress(
            match_index=0,
            next_index=core.log.last_index + 1,
            known_since_s=core.now_s,
            in_flight_since_s=None,
            last_response_s=None,
            departing=False,
            steady_since_s=core.now_s,
            acknowledged_round=0,
            snapshot_offset=0,
        )
        core.leadership.progress_by_id[member_id] = known
    return known


def _address(core, member_id):
    return next(m.address for m in core.members if m.id == member_id)


def _other_ids(core):
    return [m.id for m in core.members if m.id != core.id]


def _replicate(core):
    for member_id in _other_ids(core):
        _send_missing(core, member_id)


def _send_heartbeats(core):
    core.leadership.last_heartbeat_s = core.now_s
    for member_id in _other_ids(core):
        progress = _progress(core, member_id)
        in_flight_since_s = progress.in_flight_since_s
        if (
            in_flight_since_s is not None
            and core.now_s - in_flight_since_s >= RESEND_TIMEOUT_S
        ):
            progress.in_flight_since_s = None
            progress.next_index = progress.match_index + 1
        if not _send_missing(core, member_id):
            _send_entries(core, member_id, progress.match_index, ())


def _send_missing(core, member_id):
    """Send missing entries, or a chunk of the snapshot, to a member.

    :returns: whether anything was sent.
    """
    progress = _progress(core, member_id)
    if (
        progress.in_flight_since_s is not None
        or progress.match_index >= core.log.last_index
    ):
        return False
    previous = progress.next_index - 1
    progress.in_flight_since_s = core.now_s
    if core.log.term_at(previous) is None or progress.next_index < (
        core.log.first_index
    ):
        _send_chunk(core, member_id, progress)
        return True
    entries = _limit_to_message(
        core.log.after(previous, MAX_ENTRIES_PER_MESSAGE)
    )
    _send_entries(core, member_id, previous, entries)
    return True


def _limit_to_message(entries):
    size = 0
    for position, entry in enumerate(entries):
        size += types.size(entry)
        if size > MAX_BYTES_PER_MESSAGE and position:
            return tuple(entries[:position])
    return tuple(entries)


def _send_entries(core, member_id, previous, entries):
    term = core.log.term_at(previous)
    message = messages.AppendRequest(
        header=core.header(target=member_id),
        previous_index=previous if term is not None else 0,
        previous_term=term if term is not None else 0,
        entries=entries,
        commit_index=core.commit_index,
        round=core.leadership.round,
    )
    core.send(_address(core, member_id), message)


def _send_chunk(core, member_id, progress):
    snapshot = core.log.snapshot
    if progress.snapshot_offset >= len(snapshot.data):
        progress.snapshot_offset = 0
    end = progress.snapshot_offset + SNAPSHOT_CHUNK_BYTES
    message = messages.SnapshotChunk(
        header=core.header(target=member_id),
        index=snapshot.index,
        snapshot_term=snapshot.term,
        members=snapshot.members,
        offset=progress.snapshot_offset,
        total=len(snapshot.data),
        data=snapshot.data[progress.snapshot_offset : end],
        round=core.leadership.round,
    )
    core.send(_address(core, member_id), message)


def _advance_commit(core):
    """Commit entries stored by a majority, up to one of this term."""
    match_indexes = sorted(
        match_index(core, id_) for id_ in types.voters(core.members)
    )
    if not match_indexes:
        return
    index = match_indexes[len(match_indexes) - types.quorum(core.members)]
    if (
        index > core.commit_index
        and core.log.term_at(index) == core.hard_state.term
    ):
        core.commit_to(index)


def _resolve_reads(core):
    rounds = sorted(
        core.leadership.round
        if id_ == core.id
        else _progress(core, id_).acknowledged_round
        for id_ in types.voters(core.members)
    )
    confirmed_round = rounds[len(rounds) - types.quorum(core.members)]
    remaining = []
    for read in core.leadership.pending_reads:
        if read.round <= confirmed_round:
            core.actions.append(
                actions.ReadIndexConfirmed(read.token, read.index)
            )
        else:
            remaining.append(read)
    core.leadership.pending_reads = remaining
