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
    after_by_id = {member.id: member for member in after}
    found = [
        (actions.MemberChange.REMOVED, member, _removal(core, member, after))
        for member in before
        if member.id not in after_by_id
    ]
    for member in after:
        known = before_by_id.get(member.id)
        if known is None:
            change = actions.MemberChange.ADDED, actions.ChangeReason.ASKED
        elif member.voter and not known.voter:
            change = (
                actions.MemberChange.PROMOTED,
                actions.ChangeReason.CAUGHT_UP,
            )
        elif member.address != known.address:
            change = actions.MemberChange.MOVED, actions.ChangeReason.ASKED
        else:
            continue
        found.append((change[0], member, change[1]))
    voters = tuple(types.voters(after))
    losses = liveness.tolerable_losses(core, after)
    return [
        actions.MemberChanged(change, member, reason, voters, losses)
        for change, member, reason in found
    ]


def _removal(core, member, after):
    """Return the ChangeReason for which a member is removed."""
    others = (*core.members, *after)
    if any(o.address == member.address and o.id != member.id for o in others):
        return actions.ChangeReason.ADDRESS_REUSED
    return actions.ChangeReason.SILENT
