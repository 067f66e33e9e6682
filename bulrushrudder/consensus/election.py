"""Leader election: campaigns of this member and votes for others."""

import dataclasses

from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import leadership
from bulrushrudder.consensus import messages
from bulrushrudder.consensus import types

PRE_VOTE_CHOICE_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class PreVoteChoice:
    """The candidate for which this member gave its last pre-vote.

    :param made_s: when it did, in monotonic seconds.
    """

    candidate: types.MemberId
    made_s: float


def tick(core):
    """Start a pre-vote when the election timer has expired."""
    if core.now_s < core.deadline_s:
        return
    core.reset_election_timer()
    if core.is_voter:
        _campaign(core, pre_vote=True, transfer=False)


def handle_transfer(core, message):
    """Start an election at once at the request of the leader."""
    if message.header.term == core.hard_state.term and core.is_voter:
        _campaign(core, pre_vote=False, transfer=True)


def handle_request(core, message):
    """Answer a vote request.

    A member with an active leader refuses, unless that leader itself
    transfers leadership.
    """
    header = message.header
    if core.has_recent_leader() and not message.transfer:
        _respond(core, message, False)
        return
    if not message.pre_vote and header.term > core.hard_state.term:
        core.become_follower(header.term, None)
    granted = _may_vote(core, message)
    if message.pre_vote:
        granted = granted and not _prefers_other(core, message)
        if granted:
            core.pre_vote_choice = PreVoteChoice(header.sender, core.now_s)
    elif granted:
        core.save(vote=header.sender)
        core.reset_election_timer()
    _respond(core, message, granted)


def handle_response(core, message):
    """Count the vote of another member."""
    header = message.header
    if core.role is not core_types.Role.CANDIDATE:
        return
    if message.pre_vote != core.pre_vote or not message.granted:
        return
    if header.term != _campaign_term(core):
        return
    core.votes.add(header.sender)
    _count_votes(core)


def _campaign(core, pre_vote, transfer):
    core.role = core_types.Role.CANDIDATE
    core.leader = None
    core.pre_vote = pre_vote
    if pre_vote:
        core.pre_vote_choice = PreVoteChoice(core.id, core.now_s)
    core.votes = {core.id}
    if not pre_vote:
        core.save(term=core.hard_state.term + 1, vote=core.id)
    for member in core.members:
        if member.voter and member.id != core.id:
            _request_vote(core, member, transfer)
    _count_votes(core)


def _request_vote(core, member, transfer):
    request = messages.VoteRequest(
        header=core.header(_campaign_term(core), member.id),
        last_index=core.log.last_index,
        last_term=core.log.last_term,
        pre_vote=core.pre_vote,
        transfer=transfer,
    )
    core.send(member.address, request)


def _campaign_term(core):
    return core.hard_state.term + 1 if core.pre_vote else core.hard_state.term


def _count_votes(core):
    granted = core.votes.intersection(types.voters(core.members))
    if len(granted) < types.quorum(core.members):
        return
    if core.pre_vote:
        _campaign(core, pre_vote=False, transfer=False)
        return
    leadership.become_leader(core)


def _may_vote(core, message):
    header = message.header
    if header.term < core.hard_state.term:
        return False
    if header.term == core.hard_state.term:
        if message.pre_vote:
            return False
        if core.hard_state.vote not in ('', header.sender):
            return False
    return (message.last_term, message.last_index) >= (
        core.log.last_term,
        core.log.last_index,
    )


def _prefers_other(core, message):
    """Return whether a pre-vote of another member goes before this one.

    Of members that begin at the same moment, several would else win their
    pre-votes, and none the election.
    """
    choice = core.pre_vote_choice
    if choice is None or core.now_s - choice.made_s >= PRE_VOTE_CHOICE_S:
        return False
    equal_logs = (message.last_term, message.last_index) == (
        core.log.last_term,
        core.log.last_index,
    )
    return equal_logs and choice.candidate > message.header.sender


def _respond(core, message, granted):
    term = message.header.term if granted else core.hard_state.term
    response = messages.VoteResponse(
        core.header(term), granted, message.pre_vote
    )
    core.send(message.header.address, response)
