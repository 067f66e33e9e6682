"""The work that a server does for a call."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """How a server answers one call.

    :param takes_s: seconds before the answer of a plain call.
    :param filler: bytes that a plain answer has beside its usual ones.
    :param events: events of a stream.
    :param gap_s: seconds before the first and after each event.
    :param event_filler: bytes that an event has beside its usual ones.
    """

    takes_s: float = 0.03
    filler: int = 0
    events: int = 6
    gap_s: float = 0.02
    event_filler: int = 0


def quick(rng):
    """Return the Work of a server that answers at once."""
    return Work()


def varied(rng):
    """Draw a Work that may take seconds or have a large answer."""
    takes_s = rng.choice((0.03, rng.uniform(0.5, 1.5), rng.uniform(0.5, 3.0)))
    large = rng.random() < 0.25
    lasts_s = rng.choice((0.1, rng.uniform(1.0, 5.0)))
    return Work(
        takes_s=takes_s,
        filler=rng.randrange(2**18, 2**22) if large else 0,
        events=max(2, round(lasts_s / 0.1)),
        gap_s=0.1,
    )


def events(attempt, work):
    """Return the events of a stream."""
    filler = 'x' * work.event_filler
    return [
        f'id: {number}\ndata: {attempt}-{number}{filler}\n\n'.encode()
        for number in range(1, work.events + 1)
    ]
