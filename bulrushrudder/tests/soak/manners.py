"""Manners in which a client sends its requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AtOnce:
    """Sends a request with a length in one piece."""


@dataclasses.dataclass(frozen=True, slots=True)
class InChunks:
    """Sends a body in chunks.

    :param pauses_s: seconds before each chunk.
    """

    pauses_s: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pipelined:
    """Sends a second request before it has read the first answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class HalfSent:
    """Sends half of a body and leaves.

    :param after_s: seconds after which the client leaves.
    """

    after_s: float


Manner = AtOnce | InChunks | Pipelined | HalfSent


def draw_pause_s(rng):
    """Draw the seconds for which a client lets a connection idle."""
    if rng.random() < 0.05:
        return rng.uniform(1.0, 5.0)
    return rng.uniform(0.0, 0.05)


def draw(rng):
    """Draw a Manner."""
    share = rng.random()
    if share < 0.53:
        return AtOnce()
    if share < 0.55:
        return HalfSent(rng.uniform(0.5, 6.0))
    if share < 0.70:
        return Pipelined()
    if share < 0.85:
        return InChunks((rng.uniform(1.0, 2.5), 0.0))
    return InChunks(
        tuple(rng.uniform(0.0, 0.5) for _ in range(rng.randint(1, 6)))
    )
