"""Which members have responded to this leader recently."""

from bulrushrudder.consensus import core as core_types
from bulrushrudder.consensus import types

# Some heartbeats. A member that has been silent for longer may be gone.
RELIABLE_S = 0.5


def has_quorum(core, members=None):
    """Return whether a majority of voters responded recently."""
    members = core.members if members is None else members
    live = [id_ for id_ in types.voters(members) if is_live(core, id_)]
    return len(live) >= types.quorum(members)


def tolerable_losses(core, members):
    """Return how many more voters may be lost so that a quorum remains.

    Voters count as lost already if they may be gone.

    :param members: the members of a configuration.
    :returns: a negative number if there is no quorum.
    """
    reliable = [m for m in members if m.voter and is_reliable(core, m)]
    return len(reliable) - types.quorum(members)


def is_responsive(core, member_id):
    """Return whether a member has responded to this leader recently."""
    answered = has_responded(core, member_id)
    known = answered or member_id == core.id
    return known and is_live(core, member_id)


def is_reliable(core, member):
    """Return whether a member responds now and is not about to stop.

    One whose address another data folder uses has lost its own.
    """
    if is_departing(core, member.id) or is_address_reused(core, member):
        return False
    if member.id == core.id:
        return True
    return (
        has_responded(core, member.id)
        and silence_s(core, member.id) < RELIABLE_S
    )


def is_address_reused(core, member):
    """Return whether a later member uses a member's address.

    Members stand in the order in which they were added.
    """
    later = False
    for other in core.members:
        if other.id == member.id:
            later = True
        elif later and other.address == member.address:
            return True
    return False


def is_departing(core, member_id):
    """Return whether a member announced a stop and is not back yet."""
    progress = core.leadership.progress_by_id.get(member_id)
    return progress is not None and progress.departing


def is_live(core, member_id):
    """Return whether a member has responded recently.

    The longest election timeout applies. A new leader allows every
    member that long for its first response.
    """
    if member_id == core.id:
        return True
    timeout_s = core_types.ELECTION_TIMEOUT_S + core_types.ELECTION_JITTER_S
    return silence_s(core, member_id) < timeout_s


def silence_s(core, member_id):
    """Return seconds since a member last responded.

    Before its first response, they count from when it was added or
    leadership began.
    """
    progress = core.leadership.progress_by_id.get(member_id)
    if progress is None:
        return core.now_s - core.leadership.started_s
    if progress.last_response_s is None:
        return core.now_s - progress.known_since_s
    return core.now_s - progress.last_response_s


def unheard_s(core, member_id):
    """Return seconds since a member was heard, also as the former leader."""
    heard_s = core.leadership.heard_s_by_id.get(member_id)
    if heard_s is None or has_responded(core, member_id):
        return silence_s(core, member_id)
    return core.now_s - heard_s


def steady_s(core, member_id):
    """Return seconds since which a member has responded without a gap."""
    progress = core.leadership.progress_by_id.get(member_id)
    return core.now_s - progress.steady_since_s if progress else 0.0


def has_responded(core, member_id):
    """Return whether a member has responded to this leader."""
    known = core.leadership.progress_by_id.get(member_id)
    return known is not None and known.last_response_s is not None
