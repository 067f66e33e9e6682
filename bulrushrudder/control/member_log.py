"""Logs changes of members."""

import types as python_types

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import types
from bulrushrudder.events import catalogue
from bulrushrudder.events import log

_EVENT_BY_CHANGE = python_types.MappingProxyType(
    {
        actions.MemberChange.ADDED: catalogue.MEMBER_ADDED,
        actions.MemberChange.PROMOTED: catalogue.MEMBER_PROMOTED,
        actions.MemberChange.DEMOTED: catalogue.MEMBER_DEMOTED,
        actions.MemberChange.REMOVED: catalogue.MEMBER_REMOVED,
        actions.MemberChange.MOVED: catalogue.MEMBER_MOVED,
    }
)


def log_change(action, term):
    """Log a MemberChanged action of the leader.

    :param term: the term of the leader.
    """
    log.emit(
        _EVENT_BY_CHANGE[action.change],
        member=action.member.id,
        address=action.member.address,
        voter=action.member.voter,
        reason=action.reason.value,
        voters=list(action.voters),
        tolerable_losses=action.tolerable_losses,
        term=term,
    )


def log_committed(entry):
    """Log the members of a committed configuration entry."""
    members = entry.payload.members
    log.emit(
        catalogue.MEMBERS_COMMITTED,
        index=entry.index,
        term=entry.term,
        voters=types.voters(members),
        addresses=[m.address for m in members if m.voter],
        learners=[m.id for m in members if not m.voter],
    )
