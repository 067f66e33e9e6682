"""Rendezvous hashing, by which every VM computes the same choice."""

import xxhash


def weight(key, member):
    """Return the pseudo-random weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}\x00{member}'.encode())


def choose(key, members):
    """Return the member with the highest weight for a key.

    :param key: text that is assigned to a member.
    :param members: identifiers of the candidates, in any order.
    :returns: the chosen member, or None without candidates.
    """
    return max(
        members,
        key=lambda member: (weight(key, member), member),
        default=None,
    )
