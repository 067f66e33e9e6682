"""What a change of members does to each of them, and why."""

from bulrushrudder.consensus import actions
from bulrushrudder.consensus import liveness
from bulrushrudder.consensus import types


def between(core, before, after):
    """Return the MemberChanged actions that lead to new members.

    :param before: the members of the latest configuration.
    :param after: the members that follow them.
    """
    before_by_id = {member.id: member for member in before}
    after_ids = {member.id for member in after}
    removed = [m for m in before if m.id not in after_ids]
    found = [
        (actions.MemberChange.REMOVED, m, _loss(core, m, after))
        for m in removed
    ]
    for member in after:
        change = _change(before_by_id.get(member.id), member)
        if change is not None:
            found.append((change, member, _reason(core, change, member)))
    voters = tuple(types.voters(after))
    losses = liveness.tolerable_losses(core, after)
    return [
        actions.MemberChanged(change, member, reason, voters, losses)
        for change, member, reason in found
    ]


def _change(before, after):
    """Return what changes a member that stays or joins, or None."""
    if before is None:
        return actions.MemberChange.ADDED
    if after.voter != before.voter:
        return (
            actions.MemberChange.PROMOTED
            if after.voter
            else actions.MemberChange.DEMOTED
        )
    if after.address != before.address:
        return actions.MemberChange.MOVED
    return None


def _reason(core, change, member):
    match change:
        case actions.MemberChange.PROMOTED:
            return actions.ChangeReason.CAUGHT_UP
        case actions.MemberChange.DEMOTED:
            return _loss(core, member, core.members)
    return actions.ChangeReason.ASKED


def _loss(core, member, after):
    """Return the ChangeReason for which a member does not stay as it is."""
    others = (*core.members, *after)
    if any(o.address == member.address and o.id != member.id for o in others):
        return actions.ChangeReason.ADDRESS_REUSED
    if liveness.is_departing(core, member.id):
        return actions.ChangeReason.DEPARTED
    return actions.ChangeReason.SILENT
