"""A service in three zones in virtual time, without a network."""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from bulrushrudder.core import ids
from bulrushrudder.placement import call_meter
from bulrushrudder.placement import crossing
from bulrushrudder.placement import server_selector
from bulrushrudder.placement import service_zones
from bulrushrudder.placement import zone_spread
from bulrushrudder.tests.builders import fleet

ZONES = ('a', 'b', 'c')
CALL_BYTES = 7000
CALL_S = 0.1
PLACES = 4
VMS_PER_ZONE = 4
# 7,000 bytes cost what 7 ms of waiting are worth.
COSTS = crossing.ByteCosts(1e-6, 1e-6, 1.0)
# The rule before: constants, least calls of the own VM.
CONSTANTS = 'constants'
# Local first, overflow from four calls on, each VM with an order of its own.
THRESHOLD = 'threshold'
BALANCE = 'balance'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the world at some time.

    :param demand: calls per second by zone, None if they stay.
    :param absent: the servers that are out of service from then on.
    :param silent: zones whose VMs do not reach the coordinator.
    :param cut: pairs of zones; VMs of the first reach no server of the
        second.
    """

    at_s: float
    demand: dict[str, float] | None = None
    absent: frozenset[str] | None = None
    silent: frozenset[str] | None = None
    cut: frozenset[tuple[str, str]] | None = None


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a run has shown.

    :param waits_by_zone: seconds that calls waited for a place.
    :param crossed: number of calls from one zone to another, by pair.
    :param changes: monotonic seconds at which decisions changed.
    """

    waits_by_zone: dict[str, list[float]]
    crossed: collections.Counter
    changes: list[float]
    crossed_at_s: list[tuple[float, str, str]]

    @property
    def crossing_bytes(self):
        """Return the bytes that crossed zones."""
        return sum(self.crossed.values()) * CALL_BYTES

    def wait_s(self, zone=None, share=0.95):
        """Return a percentile of the waits, of one zone or of all."""
        waits = sorted(
            itertools.chain.from_iterable(
                w for z, w in self.waits_by_zone.items() if zone in (None, z)
            )
        )
        return waits[int(len(waits) * share)]

    def summary(self):
        """Return who waits and how many bytes cross, as text."""
        waits = ', '.join(
            f'{zone} {self.wait_s(zone) * 1000:.0f} ms' for zone in ZONES
        )
        return f'p95 wait {waits}; {self.crossing_bytes / 1e6:.1f} MB cross'


def new_spread(vm, zone):
    """Return the ZoneSpread of a VM."""
    return zone_spread.ZoneSpread(vm, ids.Zone(zone), COSTS)


class _Server:
    """A server with places and a queue."""

    def __init__(self, record):
        self.record = record
        self.running = 0
        self.queue = collections.deque()


class _Vm:
    """An entry VM with its selector."""

    def __init__(self, name, zone, policy):
        self.name = name
        self.zone = ids.Zone(zone)
        self.spread = None
        if policy != CONSTANTS:
            self.spread = new_spread(name, zone)
        self.selector = server_selector.ServerSelector(self.zone, self.spread)
        self.meter = call_meter.CallMeter(0.0)


class ZoneWorld:
    """Plays calls to a service under a policy.

    :param policy: CONSTANTS, THRESHOLD or BALANCE.
    :param servers: number of servers by zone.
    :param changes: the Changes, the first of which begins at 0.
    """

    def __init__(self, policy, servers, changes, seed=1):
        self._policy = policy
        self._random = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._now_s = 0.0
        self._demand = {}
        self._silent = frozenset()
        self._cut = frozenset()
        self._servers = {
            f'{zone}{number}': _Server(
                fleet.server(
                    f'{zone}{number}',
                    'service',
                    zone=ids.Zone(zone),
                    places=PLACES,
                )
            )
            for zone, count in servers.items()
            for number in range(count)
        }
        self._present = dict(self._servers)
        self._vms = [
            _Vm(f'vm-{zone}{number}', zone, policy)
            for zone in ZONES
            for number in range(VMS_PER_ZONE)
        ]
        self._zones = service_zones.ServiceZones(COSTS)
        self.outcome = Outcome(
            collections.defaultdict(list), collections.Counter(), [], []
        )
        for change in changes:
            self._at(change.at_s, self._change, change)
        for number, vm in enumerate(self._vms):
            self._at(number / len(self._vms), self._report, vm)

    def play(self, until_s):
        """Play until a time and return the Outcome."""
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.outcome

    def _at(self, at_s, action, *arguments):
        item = at_s, next(self._order), action, arguments
        heapq.heappush(self._events, item)

    def _change(self, change):
        if change.demand is not None:
            for zone in change.demand.keys() - self._demand.keys():
                self._at(self._now_s, self._arrive, zone)
            self._demand = change.demand
        if change.absent is not None:
            self._present = {
                name: server
                for name, server in self._servers.items()
                if name not in change.absent
            }
        if change.silent is not None:
            self._silent = change.silent
        if change.cut is not None:
            self._cut = change.cut
        records = [server.record for server in self._present.values()]
        for vm in self._vms:
            vm.selector.update_servers(records)

    def _arrive(self, zone):
        gap_s = self._random.expovariate(self._demand[zone])
        self._at(self._now_s + gap_s, self._arrive, zone)
        vm = self._random.choice([v for v in self._vms if v.zone == zone])
        vm.meter.record_asked(self._now_s)
        server = self._servers[
            vm.selector.ranked(
                self._now_s, (), self._unreachable(zone), CALL_BYTES
            )[0]
        ]
        if server.record.zone != zone:
            self.outcome.crossed[zone, server.record.zone] += 1
            self.outcome.crossed_at_s.append(
                (self._now_s, zone, server.record.zone)
            )
        vm.selector.record_call_start(server.record.id, 1, self._now_s)
        vm.meter.record_start(server.record.id, self._now_s)
        server.queue.append((vm, self._now_s))
        self._start_next(server)

    def _unreachable(self, zone):
        """Return the ids of the servers that VMs of a zone do not reach."""
        return [
            name
            for name, server in self._present.items()
            if (zone, server.record.zone) in self._cut
        ]

    def _start_next(self, server):
        while server.queue and server.running < PLACES:
            vm, asked_s = server.queue.popleft()
            server.running += 1
            waits = self.outcome.waits_by_zone[vm.zone]
            waits.append(self._now_s - asked_s)
            took_s = self._random.uniform(0.5, 1.5) * CALL_S
            self._at(self._now_s + took_s, self._end, server, vm, asked_s)

    def _end(self, server, vm, asked_s):
        server.running -= 1
        vm.selector.record_call_end(
            server.record.id,
            1,
            server_selector.CallResult.SERVED,
            self._now_s,
        )
        vm.meter.record_end(
            server.record.id, self._now_s - asked_s, CALL_BYTES, self._now_s
        )
        self._start_next(server)

    def _report(self, vm):
        self._at(self._now_s + 1.0, self._report, vm)
        if self._policy != BALANCE or vm.zone in self._silent:
            return
        lost = [zone for zone in ZONES if (vm.zone, zone) in self._cut]
        load = vm.meter.take(vm.zone, lost, self._now_s)
        records = [server.record for server in self._present.values()]
        names = {known.name for known in self._vms}
        decision = self._zones.report(
            vm.name, load, records, names, self._now_s
        )
        if decision.changed:
            self.outcome.changes.append(self._now_s)
        if decision.until_s > -math.inf:
            vm.spread.update(decision.shares, decision.until_s)


def play_all(servers, changes, until_s, seed=1):
    """Return the Outcome of each policy in the same world."""
    return {
        policy: ZoneWorld(policy, servers, changes, seed).play(until_s)
        for policy in (CONSTANTS, THRESHOLD, BALANCE)
    }
