"""Membership changes, made by the leader one member at a time.

Operators only edit the addresses in the settings. A process that sends a
discovery request joins as a learner and is promoted to voter once it has
caught up. A voter that does not respond is gone if another data folder uses
its address. If the settings contain seeds, or no longer its address, it is
also gone once it has been silent for some time or has announced a stop. It
becomes a learner then, and is promoted again once it is back.

A change of voters waits until a quorum of the result responds. It lowers the
number of voters that may still be lost only if the promoted one is lost at
once. With an even number of voters the quorum is smaller without one that is
gone, so it loses its vote at once. With an odd number it keeps its vote until
a learner can take its place, so that a group does not shrink while processes
are down; of several that stay away, two lose their votes.
"""

import dataclasses

from bulrushrudder.consensus import leadership
from bulrushrudder.consensus import liveness
from bulrushrudder.consensus import member_changes
from bulrushrudder.consensus import types

MAX_PROMOTION_LAG_ENTRIES = 64
# Longer than a voter counts as live after its last response.
VOTER_TIMEOUT_S = 2.0
# For learners, and for voters that no learner replaces.
REMOVAL_TIMEOUT_S = 10.0
STEADY_S = 10.0
MAX_QUICK_PROMOTIONS = 2
# A quorum needs one voter less for each two voters less.
VOTERS_OF_A_QUORUM = 2


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
    if members == core.members:
        return
    core.actions += member_changes.between(core, core.members, members)
    leadership.change_members(core, members)


def _next_members(core):
    """Return the members after the next change, if one is due."""
    members = _with_newcomers(core)
    if members != core.members:
        return members
    gone = _gone_voters(core)
    candidate = next((m for m in members if _is_promotable(core, m)), None)
    if _is_larger_than_needed(members):
        if gone:
            return _without_one_of(core, gone)
        if _may_lose_voter_soon(core):
            return members
    if candidate is not None and _is_promotion_safe(core, candidate):
        return tuple(_promoted(m, candidate) for m in members)
    if candidate is not None:
        return _without_one_of(core, gone)
    away = [m for m in gone if _stays_away(core, m)]
    if len(away) >= VOTERS_OF_A_QUORUM:
        return _without_one_of(core, away)
    return _without_one_of(core, [m for m in away if _is_abandoned(core, m)])


def _with_newcomers(core):
    """Return the members with newcomers and without silent learners."""
    newcomers_by_id = core.leadership.newcomers_by_id
    reused = set(newcomers_by_id.values())
    remaining = [
        dataclasses.replace(m, address=newcomers_by_id.get(m.id, m.address))
        for m in core.members
        if m.voter
        or m.id in newcomers_by_id
        or not (m.address in reused or _is_lost_learner(core, m))
    ]
    known = {m.id for m in core.members}
    joined = [
        types.Member(id_, address, voter=False)
        for id_, address in newcomers_by_id.items()
        if id_ not in known
    ]
    return (*remaining, *joined)


def _is_lost_learner(core, member):
    if liveness.is_live(core, member.id):
        return False
    if liveness.is_address_reused(core, member):
        return True
    silence_s = liveness.silence_s(core, member.id)
    return _may_be_removed(core, member) and silence_s >= REMOVAL_TIMEOUT_S


def _gone_voters(core):
    """Return the voters that are gone, the most certain ones first.

    One that announced a stop most often comes back with its disk.
    """
    gone = [m for m in core.members if m.voter and _is_gone(core, m)]
    return sorted(
        gone,
        key=lambda m: (
            not liveness.is_address_reused(core, m),
            liveness.is_departing(core, m.id),
            -liveness.unheard_s(core, m.id),
        ),
    )


def _is_gone(core, member):
    live = liveness.is_live(core, member.id)
    if not live and liveness.is_address_reused(core, member):
        return True
    if not _may_be_removed(core, member):
        return False
    if liveness.is_departing(core, member.id):
        return True
    unheard_s = liveness.unheard_s(core, member.id)
    return not live and unheard_s >= VOTER_TIMEOUT_S


def _may_lose_voter_soon(core):
    """Return whether a voter may be about to be gone.

    It goes before a further learner is promoted, or else the group could
    keep it: it is not removed from an odd number of voters.
    """
    return any(
        m.voter
        and not liveness.is_reliable(core, m)
        and (_may_be_removed(core, m) or liveness.is_address_reused(core, m))
        for m in core.members
    )


def _stays_away(core, member):
    """Return whether a voter is gone for good as far as can be told."""
    if liveness.is_address_reused(core, member):
        return True
    return liveness.unheard_s(core, member.id) >= REMOVAL_TIMEOUT_S


def _is_abandoned(core, member):
    """Return whether a voter may go although no learner replaces it.

    The operator has taken its address out of the settings.
    """
    return not _is_configured(core, member)


def _may_be_removed(core, member):
    return core.identity.seeded or not _is_configured(core, member)


def _is_configured(core, member):
    return core.identity.seeded or member.address in core.identity.addresses


def _is_larger_than_needed(members):
    """Return whether the quorum is smaller with one voter less.

    One voter alone is never preferred to two, as it has the only copy.
    """
    count = len(types.voters(members))
    return count > 2 and count % 2 == 0


def _without_one_of(core, voters):
    """Return the members with one voter as a learner, if that is safe.

    A quorum of the other voters must respond now.

    :param voters: the voters that may become learners, the first choice
        first.
    """
    for voter in voters:
        demoted = dataclasses.replace(voter, voter=False)
        members = tuple(
            demoted if m.id == voter.id else m for m in core.members
        )
        if liveness.tolerable_losses(core, members) >= 0:
            return members
    return core.members


def _is_promotable(core, member):
    if member.voter or not liveness.is_reliable(core, member):
        return False
    match_index = leadership.match_index(core, member.id)
    caught_up = match_index + MAX_PROMOTION_LAG_ENTRIES >= core.commit_index
    return (
        caught_up and _is_configured(core, member) and _is_steady(core, member)
    )


def _is_steady(core, member):
    """Return whether a learner is likely to go on responding.

    One that this leader has promoted and demoted before has to show it.
    """
    promotions = core.leadership.promotions_by_id.get(member.id, 0)
    if promotions < MAX_QUICK_PROMOTIONS:
        return True
    return liveness.steady_s(core, member.id) >= STEADY_S


def _is_promotion_safe(core, candidate):
    """Return whether a quorum remains if the candidate fails at once.

    With a single voter this cannot be met, so a second one is accepted.
    """
    members = tuple(_promoted(m, candidate) for m in core.members)
    alone = len(types.voters(core.members)) == 1
    return alone or liveness.tolerable_losses(core, members) > 0


def _promoted(member, candidate):
    if member.id != candidate.id:
        return member
    return dataclasses.replace(member, voter=True)
