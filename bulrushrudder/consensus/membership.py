"""Membership changes, made by the leader one member at a time.

Operators only edit the addresses in the settings. A process that sends a
discovery request joins as a learner and is promoted to voter once it has
caught up. A voter is removed when another data folder uses its address,
or when it is silent and its address is no longer in the settings. If the
settings contain seeds, a silent voter is removed once a learner can
replace it, or if the number of voters is even, which makes the quorum
smaller.
"""

import dataclasses

from bulrushrudder.consensus import leadership
from bulrushrudder.consensus import liveness
from bulrushrudder.consensus import member_changes
from bulrushrudder.consensus import types

MAX_PROMOTION_LAG_ENTRIES = 64
SILENCE_TIMEOUT_S = 10.0


def tick(core):
    """Append the next membership change, if one is due.

    A change waits until the previous one is committed.
    """
    if not leadership.has_committed_in_term(core):
        return
    if core.commit_index < core.log.configuration_index():
        return
    if core.leadership.successor is not None:
        return
    members = _next_members(core)
    core.leadership.newcomers_by_id.clear()
    if members is not None and members != core.members:
        core.actions += member_changes.between(core, core.members, members)
        leadership.change_members(core, members)


def _next_members(core):
    """Return the members after the next change, or None."""
    learners = _learners(core)
    if learners != [m for m in core.members if not m.voter]:
        return (*_voters(core), *learners)
    candidate = next((m for m in learners if _is_promotable(core, m)), None)
    removable = next(
        (m for m in _voters(core) if _is_removable(core, m)), None
    )
    if removable is not None and (
        candidate or _is_dispensable(core, removable)
    ):
        return _if_quorum_remains(
            core, tuple(m for m in core.members if m.id != removable.id)
        )
    if candidate is not None and _is_promotion_safe(core, candidate):
        return tuple(_promoted(m, candidate) for m in core.members)
    return None


def _is_promotion_safe(core, candidate):
    """Return whether a quorum remains if the candidate fails at once.

    With a single voter this cannot be met, so a second one is accepted.
    """
    if _is_voter_address(core, candidate.address):
        return False
    members = [_promoted(m, candidate) for m in core.members]
    voters = types.voters(core.members)
    live = [id_ for id_ in voters if liveness.is_responsive(core, id_)]
    return len(live) >= types.quorum(members) or len(voters) == 1


def _if_quorum_remains(core, members):
    return members if liveness.has_quorum(core, members) else None


def _promoted(member, candidate):
    if member.id != candidate.id:
        return member
    return dataclasses.replace(member, voter=True)


def _voters(core):
    newcomers_by_id = core.leadership.newcomers_by_id
    return [
        dataclasses.replace(m, address=newcomers_by_id.get(m.id, m.address))
        for m in core.members
        if m.voter
    ]


def _learners(core):
    """Return the learners after removals, with newcomers added."""
    newcomers_by_id = core.leadership.newcomers_by_id
    reused = set(newcomers_by_id.values())
    remaining = [
        dataclasses.replace(m, address=newcomers_by_id.get(m.id, m.address))
        for m in core.members
        if not m.voter
        and (m.id in newcomers_by_id or m.address not in reused)
        and not (_may_be_removed(core, m) and _is_silent(core, m))
    ]
    known = {m.id for m in core.members}
    joined = [
        types.Member(id_, address, voter=False)
        for id_, address in newcomers_by_id.items()
        if id_ not in known
    ]
    return [*remaining, *joined]


def _is_voter_address(core, address):
    return any(m.voter and m.address == address for m in core.members)


def _is_dispensable(core, member):
    """Return whether a voter can be removed without a replacement."""
    if core.identity.seeded:
        return len(types.voters(core.members)) % 2 == 0
    return not _is_configured(core, member)


def _is_configured(core, member):
    if core.identity.seeded:
        return True
    return member.address in core.identity.addresses


def _is_promotable(core, member):
    if not liveness.has_responded(core, member.id):
        return False
    match_index = leadership.match_index(core, member.id)
    caught_up = match_index + MAX_PROMOTION_LAG_ENTRIES >= core.commit_index
    live = liveness.is_live(core, member.id)
    return caught_up and live and _is_configured(core, member)


def _is_removable(core, member):
    """Return whether a voter that does not respond may be removed."""
    if member.id == core.id or liveness.is_live(core, member.id):
        return False
    replaced = any(
        other.address == member.address
        for other in core.members
        if other.id != member.id
    )
    if replaced:
        return True
    return _may_be_removed(core, member) and _is_silent(core, member)


def _may_be_removed(core, member):
    return core.identity.seeded or not _is_configured(core, member)


def _is_silent(core, member):
    return liveness.silence_s(core, member.id) >= SILENCE_TIMEOUT_S
