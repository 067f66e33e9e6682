"""A model in three zones in virtual time, placed by its coordinator."""

import collections
import dataclasses
import heapq
import itertools
import random

from bulrushrudder.core import ids
from bulrushrudder.placement import actions
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import crossing
from bulrushrudder.placement import events
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import places

PROMPT_TOKENS = 1000
OUTPUT_TOKENS = 100
CACHE_BYTES_PER_TOKEN = 100_000.0
TICK_S = 0.05
# A prompt takes 50 ms and an answer 1 s.
SPEED = servers.InitialSpeed(prefill_tokens_per_s=20_000.0, token_s=0.01)
# 100 MB of KV cache cost what 100 ms of waiting are worth.
PRICED = crossing.ByteCosts(1e-9, 1e-9, 1.0, CACHE_BYTES_PER_TOKEN)
# Local first: other zones only where the own one has no room.
LOCAL_FIRST = crossing.FixedCosts(10.0)


@dataclasses.dataclass(slots=True)
class ModelOutcome:
    """What a run has shown.

    :param waits_by_zone: seconds until the grant, by zone of the VM.
    :param cache_bytes: KV cache that crossed zones.
    :param decodes: granted requests by zone of the VM and of the decode
        server.
    :param decisions: number of ZonesDecided actions.
    """

    waits_by_zone: dict[str, list[float]]
    refused: collections.Counter
    cache_bytes: float = 0.0
    decodes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    decisions: int = 0

    def wait_s(self, zone, share=0.95):
        """Return a percentile of the waits of a zone."""
        waits = sorted(self.waits_by_zone[zone])
        return waits[int(len(waits) * share)]

    def summary(self):
        """Return who waits, who is refused and what crosses, as text."""
        waits = ', '.join(
            f'{zone} {self.wait_s(zone) * 1000:.0f} ms'
            for zone in sorted(self.waits_by_zone)
        )
        return (
            f'p95 wait {waits}; refused {sum(self.refused.values())}; '
            f'{self.cache_bytes / 1e9:.1f} GB of KV cache cross'
        )


class ModelWorld:
    """Plays requests to a model.

    :param costs: the crossing Costs of the coordinator.
    :param pool: numbers of prefill and decode servers by zone.
    :param demand_at: pairs of seconds and requests per second by zone.
    :param pools_at: pairs of seconds and further pools.
    """

    def __init__(self, costs, pool, demand_at, pools_at=(), seed=1):
        self._random = random.Random(seed)
        self._coordinator = coordinator.Coordinator(costs=costs)
        self._events = []
        self._order = itertools.count()
        self._asked = {}
        self._zone_by_server = {}
        self._now_s = 0.0
        self._demand = {}
        self.outcome = ModelOutcome(
            collections.defaultdict(list), collections.Counter()
        )
        for at_s, changed in ((0.0, pool), *pools_at):
            self._at(at_s, self._change_pool, changed)
        for at_s, demand in demand_at:
            self._at(at_s, self._change_demand, demand)
        self._at(TICK_S, self._tick)

    def play(self, until_s):
        """Play until a time and return the ModelOutcome."""
        while self._events[0][0] <= until_s:
            self._now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.outcome

    def _at(self, at_s, action, *arguments):
        item = at_s, next(self._order), action, arguments
        heapq.heappush(self._events, item)

    def _change_pool(self, pool):
        joined = [
            fleet.server(
                f'{kind}-{zone}{number}',
                kind,
                zone=ids.Zone(zone),
                places=8,
                initial_speed=SPEED,
            )
            for zone, counts in pool.items()
            for kind, count in zip(('prefill', 'decode'), counts, strict=True)
            for number in range(count)
        ]
        for server in joined:
            self._zone_by_server[server.id] = server.zone
        self._handle(events.ServersChanged(tuple(joined)))

    def _change_demand(self, demand):
        for zone in demand.keys() - self._demand.keys():
            self._at(self._now_s, self._arrive, zone)
        self._demand = demand

    def _arrive(self, zone):
        gap_s = self._random.expovariate(self._demand[zone])
        self._at(self._now_s + gap_s, self._arrive, zone)
        number = next(self._order)
        self._asked[number] = zone, self._now_s
        self._handle(
            places.placement_request(
                number,
                zone=ids.Zone(zone),
                prompt_tokens=PROMPT_TOKENS,
                output_tokens=OUTPUT_TOKENS,
                patience_s=3.0,
            )
        )

    def _tick(self):
        self._at(self._now_s + TICK_S, self._tick)
        self._handle(events.Ticked())

    def _handle(self, event):
        for action in self._coordinator.handle(event, self._now_s):
            match action:
                case actions.Grant():
                    self._grant(action)
                case actions.Refuse(call=call):
                    self.outcome.refused[self._asked[call][0]] += 1
                case actions.ZonesDecided():
                    self.outcome.decisions += 1

    def _grant(self, grant):
        zone, asked_s = self._asked[grant.call]
        self.outcome.waits_by_zone[zone].append(self._now_s - asked_s)
        prefill = self._zone_by_server[grant.prefill]
        decode = self._zone_by_server[grant.decode]
        self.outcome.decodes[zone, decode] += 1
        if prefill != decode:
            cache_bytes = PROMPT_TOKENS * CACHE_BYTES_PER_TOKEN
            self.outcome.cache_bytes += cache_bytes
        took_s = PROMPT_TOKENS / SPEED.prefill_tokens_per_s
        took_s += (
            OUTPUT_TOKENS * SPEED.token_s * self._random.uniform(0.5, 1.5)
        )
        released = events.PlaceReleased(grant.hold)
        self._at(self._now_s + took_s, self._handle, released)
