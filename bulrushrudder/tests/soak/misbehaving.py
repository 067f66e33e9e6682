"""Clients that keep to no limit, beside those that do."""

import asyncio
import dataclasses

from bulrushrudder.tests.builders import crowds
from bulrushrudder.tests.builders import process_watch

CLIENTS = 3
MEMORY_MB = 128
WATCH_INTERVAL_S = 0.2
MAX_STAY_S = 3.0
MAX_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stays:
    """Opens connections and sends until it leaves without a word.

    :param port: name of the listener.
    :param make_pieces: function that returns what a connection sends.
    """

    port: str
    connections: int
    make_pieces: object
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Resets:
    """Opens connections and resets each at once.

    :param piece: what it sends before.
    """

    port: str
    connections: int
    piece: bytes


Conduct = Stays | Resets


def draw(rng):
    """Draw a Conduct."""
    port = rng.choice(('frontend', 'frontend', 'ready', 'metrics', 'inner'))
    match rng.randrange(6):
        case 0:
            # Answers that nobody reads; few, as the others need servers too.
            return Stays('frontend', 1, lambda: crowds.calls('/look/1', 30))
        case 1:
            return Stays(
                'frontend',
                10,
                lambda: crowds.calls('/look/1', 300, key='other'),
            )
        case 2:
            return Stays('frontend', 5, crowds.uploads(500_000), 0.01)
        case 3:
            return Stays(port, 10, crowds.endless_head)
        case 4:
            long_ids = crowds.calls_with_long_ids
            return Stays('frontend', 5, lambda: long_ids(20, key='other'))
    return Resets(port, 50, rng.choice((b'P', b'\x00 no request\r\n\r\n')))


class Client:
    """Connects to entries, and leaves, until it is cancelled.

    :param fleet: the Fleet.
    :param rng: random.Random of this client.
    """

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng

    async def run(self):
        """Misbehave until cancelled."""
        while True:
            machine = self._rng.choice(self._fleet.edges)
            conduct = draw(self._rng)
            crowd = crowds.Crowd(machine.address(conduct.port))
            try:
                match conduct:
                    case Stays():
                        crowd.join(
                            conduct.connections,
                            conduct.make_pieces,
                            conduct.pause_s,
                        )
                    case Resets():
                        crowd.reopen(1, conduct.connections, conduct.piece, 0)
                await asyncio.sleep(self._rng.uniform(0.1, MAX_STAY_S))
            finally:
                await crowd.leave()
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))


async def watch_memory(fleet):
    """Record processes that hold more than their machine has."""
    broken = set()
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        for machine in fleet.edges:
            peak_mb = _peak_mb(machine)
            if peak_mb > MEMORY_MB and machine.process not in broken:
                broken.add(machine.process)
                fleet.record.add_break(
                    'MEMORY',
                    f'{machine.process} held {peak_mb:.0f} MB, '
                    f'{MEMORY_MB} are there',
                )


def _peak_mb(machine):
    try:
        return process_watch.ProcessWatch(machine.pid).peak_mb
    except (AssertionError, FileNotFoundError, ProcessLookupError):
        # The process has just ended.
        return 0.0
