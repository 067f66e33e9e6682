"""The leader's side of replication."""

import dataclasses

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types

MAX_ENTRIES_A_MESSAGE = 512
MAX_BYTES_A_MESSAGE = 1024 * 1024
SNAPSHOT_PART_BYTES = 256 * 1024
RESEND_S = 1.0


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows of another member.

    :ivar agreed: up to where its log is known to agree.
    :ivar next: the first entry to send.
    :ivar sent_s: when entries were sent that are not answered, or None.
    :ivar heard_s: when it answered last, or None.
    :ivar round: the latest round that it answered.
    :ivar offset: bytes of the snapshot that it holds.
    """

    agreed: int
    next: int
    sent_s: float | None
    heard_s: float | None
    round: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A ConfirmAsked that waits for its round."""

    token: int
    round: int
    index: int


@dataclasses.dataclass(slots=True)
class Leadership:
    """What a leader keeps besides the log.

    :ivar start: the index of the first entry of its term.
    :ivar successor: whom leadership is handed to, or None.
    :ivar newcomers_by_id: addresses of processes that hear no leader.
    """

    start: int
    since_s: float
    beaten_s: float
    round: int
    progress_by_id: dict[types.MemberId, Progress]
    questions: list[Question]
    successor: types.MemberId | None
    newcomers_by_id: dict[types.MemberId, str]


def begin(core):
    """Become the leader of the current term."""
    core.role = core_types.Role.LEADER
    core.leader = core.id
    core.leadership = Leadership(
        start=core.log.last_index + 1,
        since_s=core.now_s,
        beaten_s=core.now_s,
        round=0,
        progress_by_id={},
        questions=[],
        successor=None,
        newcomers_by_id={},
    )
    add(core, [types.TermStart()])


def add(core, payloads):
    """Append entries of this leader."""
    first = core.log.last_index + 1
    core.save(
        [
            types.Entry(first + offset, core.ballot.term, payload)
            for offset, payload in enumerate(payloads)
        ]
    )
    _replicate(core)
    _advance(core)


def propose(core, event):
    """Append the commands of a Proposed event."""
    leads = core.role is core_types.Role.LEADER
    if not leads or core.leadership.successor is not None:
        core.actions.append(actions.Declined(event.token))
        return
    first = core.log.last_index + 1
    core.actions.append(actions.Accepted(event.token, first, core.ballot.term))
    add(core, [types.Command(data) for data in event.commands])


def confirm(core, event):
    """Begin a quorum round for a ConfirmAsked event."""
    if not settled(core):
        core.actions.append(actions.Declined(event.token))
        return
    core.leadership.round += 1
    core.leadership.questions.append(
        Question(event.token, core.leadership.round, core.commit)
    )
    _beat(core)
    _answer_questions(core)


def settled(core):
    """Return whether this leader has committed an entry of its term."""
    leads = core.role is core_types.Role.LEADER
    return leads and core.commit >= core.leadership.start


def tick(core):
    """Send heartbeats; step back without a quorum."""
    if not has_quorum(core):
        core.follow(core.ballot.term, None)
        core.rest()
        return
    _hand_over(core)
    if core.now_s - core.leadership.beaten_s >= core_types.HEARTBEAT_S:
        _beat(core)


def has_quorum(core, members=None):
    """Return whether a majority of voters was heard of lately."""
    members = core.members if members is None else members
    live = [id_ for id_ in types.voters(members) if is_live(core, id_)]
    return len(live) >= types.quorum(members)


def is_live(core, member_id):
    """Return whether a member was heard of lately."""
    if member_id == core.id:
        return True
    limit_s = core_types.ELECTION_S + core_types.ELECTION_SPREAD_S
    return silence_s(core, member_id) < limit_s


def silence_s(core, member_id):
    """Return seconds since a member answered or leadership began."""
    heard_s = core.leadership.since_s
    if has_answered(core, member_id):
        heard_s = core.leadership.progress_by_id[member_id].heard_s
    return core.now_s - heard_s


def has_answered(core, member_id):
    """Return whether a member ever answered this leader."""
    known = core.leadership.progress_by_id.get(member_id)
    return known is not None and known.heard_s is not None


def agreed_index(core, member_id):
    """Return up to where a member's log is known to agree."""
    if member_id == core.id:
        return core.log.last_index
    known = core.leadership.progress_by_id.get(member_id)
    return known.agreed if known else 0


def appended(core, message):
    """Take a follower's answer to entries."""
    progress = _answered(core, message)
    if progress is None:
        return
    if message.agreed and message.index > progress.agreed:
        progress.agreed = message.index
        progress.next = message.index + 1
        progress.sent_s = None
    if not message.agreed:
        hint = min(message.index + 1, progress.next)
        progress.next = max(hint, progress.agreed + 1)
        progress.sent_s = None
    _advance(core)
    _answer_questions(core)
    _send_new(core, message.head.sender)


def part_taken(core, message):
    """Take a follower's answer to a part of a snapshot."""
    progress = _answered(core, message)
    if progress is None:
        return
    _answer_questions(core)
    if message.index == core.log.snapshot.index:
        progress.offset = message.offset
        progress.sent_s = None
        _send_new(core, message.head.sender)


def hand_over(core):
    """Choose the voter that shall lead from now on."""
    if core.role is not core_types.Role.LEADER:
        return
    others = [
        id_
        for id_ in types.voters(core.members)
        if id_ != core.id and is_live(core, id_)
    ]
    if not others:
        return
    core.leadership.successor = max(
        others, key=lambda id_: agreed_index(core, id_)
    )
    _hand_over(core)


def _hand_over(core):
    successor = core.leadership.successor
    if successor is None:
        return
    whole = core.commit == core.log.last_index
    if whole and agreed_index(core, successor) == core.commit:
        address = _address(core, successor)
        head = core.head(target=successor)
        core.send(address, messages.HandOver(head))


def _answered(core, message):
    if core.role is not core_types.Role.LEADER:
        return None
    if message.head.term != core.ballot.term:
        return None
    if message.head.sender not in {m.id for m in core.members}:
        return None
    progress = _progress(core, message.head.sender)
    progress.heard_s = core.now_s
    progress.round = max(progress.round, message.round)
    return progress


def _progress(core, member_id):
    known = core.leadership.progress_by_id.get(member_id)
    if known is None:
        known = Progress(
            agreed=0,
            next=core.log.last_index + 1,
            sent_s=None,
            heard_s=None,
            round=0,
            offset=0,
        )
        core.leadership.progress_by_id[member_id] = known
    return known


def _address(core, member_id):
    return next(m.address for m in core.members if m.id == member_id)


def _others(core):
    return [m.id for m in core.members if m.id != core.id]


def _replicate(core):
    for member_id in _others(core):
        _send_new(core, member_id)


def _beat(core):
    core.leadership.beaten_s = core.now_s
    for member_id in _others(core):
        progress = _progress(core, member_id)
        sent_s = progress.sent_s
        if sent_s is not None and core.now_s - sent_s >= RESEND_S:
            progress.sent_s = None
            progress.next = progress.agreed + 1
        if not _send_new(core, member_id):
            _send_entries(core, member_id, progress.agreed, ())


def _send_new(core, member_id):
    """Send entries or a part of the snapshot that a member lacks.

    :returns: whether anything was sent.
    """
    progress = _progress(core, member_id)
    if progress.sent_s is not None or progress.agreed >= core.log.last_index:
        return False
    previous = progress.next - 1
    progress.sent_s = core.now_s
    if core.log.term_at(previous) is None or progress.next < (
        core.log.first_index
    ):
        _send_part(core, member_id, progress)
        return True
    entries = _bounded(core.log.after(previous, MAX_ENTRIES_A_MESSAGE))
    _send_entries(core, member_id, previous, entries)
    return True


def _bounded(entries):
    size = 0
    for position, entry in enumerate(entries):
        if isinstance(entry.payload, types.Command):
            size += len(entry.payload.data)
        if size > MAX_BYTES_A_MESSAGE and position:
            return tuple(entries[:position])
    return tuple(entries)


def _send_entries(core, member_id, previous, entries):
    term = core.log.term_at(previous)
    message = messages.Append(
        head=core.head(target=member_id),
        previous_index=previous if term is not None else 0,
        previous_term=term if term is not None else 0,
        entries=entries,
        commit=core.commit,
        round=core.leadership.round,
    )
    core.send(_address(core, member_id), message)


def _send_part(core, member_id, progress):
    snapshot = core.log.snapshot
    if progress.offset >= len(snapshot.data):
        progress.offset = 0
    end = progress.offset + SNAPSHOT_PART_BYTES
    message = messages.SnapshotPart(
        head=core.head(target=member_id),
        index=snapshot.index,
        snapshot_term=snapshot.term,
        members=snapshot.members,
        offset=progress.offset,
        total=len(snapshot.data),
        data=snapshot.data[progress.offset : end],
        round=core.leadership.round,
    )
    core.send(_address(core, member_id), message)


def _advance(core):
    """Commit what a majority holds, if it is of this leader's term."""
    held = sorted(
        agreed_index(core, id_) for id_ in types.voters(core.members)
    )
    if not held:
        return
    index = held[len(held) - types.quorum(core.members)]
    if index > core.commit and core.log.term_at(index) == core.ballot.term:
        core.commit_to(index)


def _answer_questions(core):
    rounds = sorted(
        core.leadership.round if id_ == core.id else _progress(core, id_).round
        for id_ in types.voters(core.members)
    )
    done = rounds[len(rounds) - types.quorum(core.members)]
    waiting = []
    for question in core.leadership.questions:
        if question.round <= done:
            core.actions.append(
                actions.Confirmed(question.token, question.index)
            )
        else:
            waiting.append(question)
    core.leadership.questions = waiting
