"""Holds back client accounts that send far more than their share."""

import dataclasses
import math

# A flooding account is held back once it holds this part of its share.
FLOOD_MIN_HELD_SHARE = 0.5
# With more free places than this multiple of the reserve, a flooding
# account is not constrained.
AMPLE_RESERVE_FACTOR = 2.0


def is_flooding(account, held, demand, places):
    """Return whether an account floods and already holds enough.

    :param held: number of places that it holds.
    :param demand: the AccountDemand.
    :param places: number of places of all decode servers.
    """
    if not demand.is_flooding(account):
        return False
    return held >= demand.share(account, places) * FLOOD_MIN_HELD_SHARE


def constraints(unconstrained, demand, pool, now_s):
    """Return the Constraints of flooding accounts, None to block them.

    :param unconstrained: the Constraints of other accounts.
    :param demand: the AccountDemand.
    :param pool: the DecodePool.
    :param now_s: monotonic seconds.
    """
    reserve = demand.reserve(pool.places, pool.mean_hold_s, now_s)
    free = pool.places - pool.held_places
    if free <= reserve:
        return None
    if free > reserve * AMPLE_RESERVE_FACTOR:
        return unconstrained
    reserve_per_server = reserve / max(1, len(pool.by_id))
    pieces = math.ceil(reserve_per_server * pool.large_pieces)
    return dataclasses.replace(
        unconstrained, spare_pieces=pieces, max_prefill_wait_s=0.0
    )
