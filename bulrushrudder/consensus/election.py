"""Elections: who may lead, and whom this member votes for."""

from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import leadership
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types


def tick(core):
    """Start an election where no leader was heard of for long."""
    if core.now_s < core.deadline_s:
        return
    core.rest()
    if core.is_voter:
        _ask(core, trial=True, handed_over=False)


def handed_over(core, message):
    """Start an election because the leader asked for it."""
    if message.head.term == core.ballot.term and core.is_voter:
        _ask(core, trial=False, handed_over=True)


def asked(core, message):
    """Answer a candidate."""
    head = message.head
    if core.hears_leader() and not message.handed_over:
        _answer(core, message, False)
        return
    if not message.trial and head.term > core.ballot.term:
        core.follow(head.term, None)
    granted = _may_vote(core, message)
    if granted and not message.trial:
        core.save(vote=head.sender)
        core.rest()
    _answer(core, message, granted)


def answered(core, message):
    """Count a vote."""
    head = message.head
    if core.role is not core_types.Role.CANDIDATE:
        return
    if message.trial != core.trial or not message.granted:
        return
    if head.term != _asked_term(core):
        return
    core.votes.add(head.sender)
    _count(core)


def _ask(core, trial, handed_over):
    core.role = core_types.Role.CANDIDATE
    core.leader = None
    core.trial = trial
    core.votes = {core.id}
    if not trial:
        core.save(term=core.ballot.term + 1, vote=core.id)
    for member in core.members:
        if member.voter and member.id != core.id:
            _ask_member(core, member, handed_over)
    _count(core)


def _ask_member(core, member, handed_over):
    question = messages.AskVote(
        head=core.head(_asked_term(core), member.id),
        last_index=core.log.last_index,
        last_term=core.log.last_term,
        trial=core.trial,
        handed_over=handed_over,
    )
    core.send(member.address, question)


def _asked_term(core):
    return core.ballot.term + 1 if core.trial else core.ballot.term


def _count(core):
    for_me = core.votes.intersection(types.voters(core.members))
    if len(for_me) < types.quorum(core.members):
        return
    if core.trial:
        _ask(core, trial=False, handed_over=False)
        return
    leadership.begin(core)


def _may_vote(core, message):
    head = message.head
    if head.term < core.ballot.term:
        return False
    if head.term == core.ballot.term:
        if message.trial:
            return False
        if core.ballot.vote not in ('', head.sender):
            return False
    return (message.last_term, message.last_index) >= (
        core.log.last_term,
        core.log.last_index,
    )


def _answer(core, message, granted):
    term = message.head.term if granted else core.ballot.term
    answer = messages.Voted(core.head(term), granted, message.trial)
    core.send(message.head.address, answer)
