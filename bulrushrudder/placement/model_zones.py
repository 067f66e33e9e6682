"""Balance of a model's work over availability zones.

Soft state of the model's coordinator, from which it prefers zones for each
request. Without prices for bytes between zones, it does nothing.
"""

import collections
import dataclasses
import itertools
import math

from bulrushrudder.core import ids
from bulrushrudder.placement import actions
from bulrushrudder.placement import balance
from bulrushrudder.placement import crossing
from bulrushrudder.placement import zone_balance
from bulrushrudder.placement import zone_demand

DECIDE_INTERVAL_S = 0.5
# Requests that have waited for less than this are on their way, not queued.
MIN_QUEUED_S = 0.05
# Time for which a zone counts as out of reach of another one after a request
# has excluded all of its servers; VMs remember a lost path for 1 s.
LINK_LOSS_S = 2.0
# Weight of a request in the mean of prompt and output tokens.
MEAN_EWMA_WEIGHT = 0.05


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A queued request.

    :param zones: the zones drawn for its prefill and its decode server,
        None before its first try.
    :param shares: the shares that they were drawn under.
    :param cheapest_s: cost of the cheapest zones that have servers for it;
        waiting saves nothing of that.
    :param worth_s: seconds that it saves by leaving its zone as the balance
        wants; 0 if it stays.
    """

    zone: ids.Zone
    since_s: float
    zones: tuple[ids.Zone | None, ids.Zone | None] | None = None
    shares: object = None
    cheapest_s: float = 0.0
    worth_s: float = 0.0


class ModelZones:
    """Balances the two legs of a model's requests over zones.

    A request gets the zone of its decode server first; that zone is then
    the origin of its prefill, so that a zone without a decode server has no
    prefills of its own, and its prefill servers help other zones.

    :param costs: the crossing Costs.
    :param prefills: the PrefillPool.
    :param decodes: the DecodePool.
    :ivar costs: the crossing Costs.
    """

    def __init__(self, costs, prefills, decodes):
        self.costs = costs
        self._prefills = prefills
        self._decodes = decodes
        self._arrivals = zone_demand.ZoneRates()
        self._waiting_by_hold = {}
        self._lost_until_s_by_link = {}
        self._decode_balance = zone_balance.ZoneBalance()
        self._prefill_balance = zone_balance.ZoneBalance()
        self._decode_draw = zone_balance.ShareDraw()
        self._prefill_draw = zone_balance.ShareDraw()
        self._decode_figures = {}
        self._zones_with_decodes = frozenset()
        self._zones_with_prefills = frozenset()
        self._decided_s = -math.inf
        self._prompt_tokens = 0.0
        self._output_tokens = 0.0

    @property
    def active(self):
        """Return whether the settings ask for a balance of zones."""
        return isinstance(self.costs, crossing.ByteCosts)

    @property
    def decisions(self):
        """Return the last Decisions on decode and on prefill servers."""
        return self._decode_balance.decision, self._prefill_balance.decision

    @property
    def figures_by_zone(self):
        """Return the ZoneFigures of decode servers by zone."""
        return self._decode_figures

    def arrived(self, request, now_s):
        """Record a request that is queued."""
        if not self.active:
            return
        self._arrivals.record(request.zone, now_s)
        self._waiting_by_hold[request.hold] = _Waiting(request.zone, now_s)
        output = request.expected_tokens or request.output_tokens
        weight = MEAN_EWMA_WEIGHT if self._prompt_tokens else 1.0
        self._prompt_tokens += weight * (
            request.prompt_tokens - self._prompt_tokens
        )
        self._output_tokens += weight * (output - self._output_tokens)
        self._record_links(request, now_s)

    def left(self, hold):
        """Record that a request is no longer queued."""
        self._waiting_by_hold.pop(hold, None)

    def refresh(self, now_s):
        """Decide anew if it is due.

        :returns: ZonesDecided actions for decisions that changed.
        """
        if not self.active or now_s < self._decided_s + DECIDE_INTERVAL_S:
            return []
        if not self._prompt_tokens:
            # Speeds are not known before the first request.
            return []
        self._decided_s = now_s
        lost = self._lost_links(now_s)
        capacity_by_zone = self._decode_capacities()
        self._zones_with_decodes = frozenset(capacity_by_zone)
        figures = self._figures(capacity_by_zone, now_s)
        self._decode_figures = {f.zone: f for f in figures}
        decode = self._decode_balance.decide(
            figures, self._decode_crossing_s, now_s, lost
        )
        prefill = self._prefill_balance.decide(
            self._prefill_figures(decode, now_s),
            self._prefill_crossing_s,
            now_s,
            lost,
        )
        return [
            actions.ZonesDecided(kind, decided.shares)
            for kind, decided in (('decode', decode), ('prefill', prefill))
            if decided.changed
        ]

    def preference(self, request, now_s):
        """Return the Preference for a request, None without a decision."""
        if not self.active:
            return None
        waiting = self._waiting_by_hold.get(request.hold)
        if waiting is None or now_s > self.decisions[0].until_s:
            return None
        shares = tuple(decision.shares for decision in self.decisions)
        if waiting.zones is None or waiting.shares != shares:
            waiting.zones, waiting.worth_s = self._draw(request)
            waiting.shares = shares
            waiting.cheapest_s = self._cheapest_s(request)
        saved_s = self.wait_s(request.zone) + now_s - waiting.since_s
        return crossing.Preference(
            *waiting.zones,
            waiting.cheapest_s + max(saved_s, waiting.worth_s),
        )

    def wait_s(self, zone):
        """Return the expected wait for a place in a zone, in seconds."""
        figures = self._decode_figures.get(zone)
        if figures is None or figures.capacity <= 0:
            return math.inf
        return (figures.queue + 1.0) / figures.capacity

    def _draw(self, request):
        """Return the zones of a request, and what leaving its own saves.

        A request whose bytes cost more than the wait that it saves stays. A
        zone without servers is not wanted; the bytes then decide alone.
        """
        decode, prefill = self.decisions
        chosen = self._decode_draw.draw(
            request.zone, decode.targets(request.zone)
        )
        worth_s = decode.worth_s(request.zone, chosen)
        crossing_s = crossing.decode_only_s(self.costs, request, chosen)
        if crossing_s > worth_s:
            chosen, worth_s = request.zone, 0.0
        if chosen not in self._zones_with_decodes:
            return (None, None), 0.0
        source = self._prefill_draw.draw(chosen, prefill.targets(chosen))
        sizes = crossing.request_bytes(self.costs, request.prompt_tokens, 0)
        cache_s = crossing.leg_s(self.costs, source, chosen, sizes.cache)
        if cache_s > prefill.worth_s(chosen, source):
            source = chosen
        if source not in self._zones_with_prefills:
            source = None
        return (source, chosen), worth_s

    def _cheapest_s(self, request):
        """Return the cost of the cheapest zones that have servers."""
        excluded = set(request.excluded)
        decode_zones = {
            known.server.zone
            for server_id, known in self._decodes.by_id.items()
            if known.present and server_id not in excluded
        }
        prefill_zones = {
            known.server.zone
            for server_id, known in self._prefills.by_id.items()
            if server_id not in excluded
        }
        pairs = (
            itertools.product(prefill_zones, decode_zones)
            if prefill_zones
            else ((zone, zone) for zone in decode_zones)
        )
        return min(
            (
                crossing.placement_s(self.costs, request, prefill, decode)
                for prefill, decode in pairs
            ),
            default=0.0,
        )

    def _figures(self, capacity_by_zone, now_s):
        queues = collections.Counter(
            waiting.zone
            for waiting in self._waiting_by_hold.values()
            if now_s - waiting.since_s >= MIN_QUEUED_S
        )
        rates = self._arrivals.rates(now_s)
        return [
            zone_balance.ZoneFigures(
                zone,
                rates.get(zone, 0.0),
                capacity_by_zone.get(zone, 0.0),
                queues[zone],
                now_s,
            )
            for zone in capacity_by_zone.keys() | rates.keys()
        ]

    def _prefill_figures(self, decode, now_s):
        """Return figures in which the zone of the decode server asks."""
        demand_by_zone = collections.Counter()
        for zone, rate in self._arrivals.rates(now_s).items():
            for target, share in decode.targets(zone).items():
                demand_by_zone[target] += rate * share
        capacity_by_zone = self._prefill_capacities()
        self._zones_with_prefills = frozenset(capacity_by_zone)
        return [
            zone_balance.ZoneFigures(
                zone,
                demand_by_zone[zone],
                capacity_by_zone.get(zone, 0.0),
                0.0,
                now_s,
            )
            for zone in capacity_by_zone.keys() | demand_by_zone.keys()
        ]

    def _decode_capacities(self):
        """Return the requests per second that decode servers complete."""
        capacity_by_zone = collections.Counter()
        tokens = self._prompt_tokens + self._output_tokens / 2
        for known in self._decodes.by_id.values():
            if not known.present:
                continue
            server = known.server
            places = server.places
            if server.memory_tokens and tokens:
                memory = server.memory_tokens * balance.MEMORY_USE_SHARE
                places = min(places, memory / tokens)
            hold_s = self._output_tokens * known.token_s
            hold_s = hold_s or self._decodes.mean_hold_s
            capacity_by_zone[server.zone] += places / hold_s
        return capacity_by_zone

    def _prefill_capacities(self):
        """Return the requests per second that prefill servers complete."""
        capacity_by_zone = collections.Counter()
        for known in self._prefills.by_id.values():
            work_s = known.base_s + self._prompt_tokens / known.tokens_per_s
            capacity_by_zone[known.server.zone] += 1.0 / max(work_s, 1e-3)
        return capacity_by_zone

    def _decode_crossing_s(self, origin, target):
        sizes = self._mean_bytes()
        return crossing.leg_s(
            self.costs, origin, target, sizes.prompt + sizes.answer
        )

    def _prefill_crossing_s(self, origin, target):
        return crossing.leg_s(
            self.costs, origin, target, self._mean_bytes().cache
        )

    def _mean_bytes(self):
        return crossing.request_bytes(
            self.costs, self._prompt_tokens, self._output_tokens
        )

    def _record_links(self, request, now_s):
        """Record which zones a request's VM cannot reach."""
        excluded = set(request.excluded)
        servers_by_zone = collections.defaultdict(set)
        for known in self._decodes.by_id.values():
            if known.present and known.server.zone != request.zone:
                servers_by_zone[known.server.zone].add(known.server.id)
        for zone, server_ids in servers_by_zone.items():
            if server_ids <= excluded:
                link = request.zone, zone
                self._lost_until_s_by_link[link] = now_s + LINK_LOSS_S

    def _lost_links(self, now_s):
        for link, until_s in tuple(self._lost_until_s_by_link.items()):
            if now_s > until_s:
                del self._lost_until_s_by_link[link]
        return frozenset(self._lost_until_s_by_link)
