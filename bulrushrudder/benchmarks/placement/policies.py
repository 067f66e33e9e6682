"""Placement policies: the system's own and the baselines."""

import dataclasses
import random

from bulrushrudder.benchmarks.placement import workload


@dataclasses.dataclass(frozen=True, slots=True)
class Coordinated:
    """The coordinator places requests."""

    name: str = 'coordinated'


@dataclasses.dataclass(frozen=True, slots=True)
class Random:
    """A random server."""

    name: str = 'random'


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each entry uses the servers in turn."""

    name: str = 'round robin'


@dataclasses.dataclass(frozen=True, slots=True)
class LeastLoad:
    """The server with the least reported load."""

    name: str = 'least load'


@dataclasses.dataclass(frozen=True, slots=True)
class PowerOfTwo:
    """The one of two random servers with the lower reported load."""

    name: str = 'power of two'


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillFirst:
    """The shortest prefill queue; the decode server follows the prefill."""

    name: str = 'prefill first'


COORDINATED = Coordinated()
BASELINES = (
    Random(),
    RoundRobin(),
    LeastLoad(),
    PowerOfTwo(),
    PrefillFirst(),
)
ENTRIES = len(workload.ZONES)


class ServerChooser:
    """Chooses servers for the policies without a coordinator.

    :ivar loads_by_id: last reported loads.
    :param prefills: the PrefillEngines.
    :param decodes: the DecodeEngines.
    """

    def __init__(self, policy, prefills, decodes, seed):
        self.loads_by_id = {}
        self._policy = policy
        self._prefills = prefills
        self._decodes = decodes
        self._rng = random.Random(seed)
        self._turns_by_zone = dict.fromkeys(workload.ZONES, 0)

    def prefill(self, request):
        """Return a prefill engine."""
        return self._choose(self._prefills, request)

    def decode(self, request):
        """Return a decode engine, or None to choose it after the prefill."""
        if isinstance(self._policy, PrefillFirst):
            return None
        return self._choose(self._decodes, request)

    def decode_after_prefill(self):
        """Return the decode engine with the least load."""
        return min(
            self._available(self._decodes),
            key=lambda engine: (engine.load, engine.server),
        )

    def _choose(self, engines, request):
        engines = self._available(engines)
        match self._policy:
            case Random():
                return self._rng.choice(engines)
            case RoundRobin():
                turn = self._turns_by_zone[request.zone]
                self._turns_by_zone[request.zone] += 1
                return engines[turn // 2 % len(engines)]
            case LeastLoad():
                return min(engines, key=self._reported_load)
            case PowerOfTwo():
                pair = [self._rng.choice(engines) for _ in range(2)]
                return min(pair, key=self._reported_load)
            case PrefillFirst():
                return min(engines, key=lambda engine: engine.load)
        raise AssertionError(f'unknown policy {self._policy!r}')

    def _available(self, engines):
        return [engine for engine in engines if engine.up] or engines

    def _reported_load(self, engine):
        return self.loads_by_id.get(engine.server, 0)
