"""Balance of a plain service's calls over availability zones.

Soft state of the service's coordinator: what each VM has reported lately.
"""

import collections
import dataclasses
import math

from bulrushrudder.core import ids
from bulrushrudder.placement import crossing
from bulrushrudder.placement import zone_balance

DECIDE_INTERVAL_S = 0.5
# Reports of VMs that are older have missed at least two rounds; the VM may
# be gone, and its calls are not counted any more.
REPORT_VALID_S = 3.0
# Weight of the demand of the last second in that of a zone, which follows a
# change in one or two seconds.
DEMAND_EWMA_WEIGHT = 0.6
# Weight of a decision's measurement in the speed of a server: it follows a
# slowdown in two seconds, and single slow calls do not move the shares.
SPEED_EWMA_WEIGHT = 0.25
# Seconds per call that are assumed before any call has ended.
DEFAULT_CALL_S = 0.1
MIN_CALL_S = 1e-4


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCalls:
    """Calls of one VM to one server of a service.

    :param calls: average number of outstanding calls.
    :param call_s: mean seconds of the calls that ended; 0 if none did.
    """

    server: ids.ServerId
    calls: float
    call_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """What a VM has measured of a service since its last report.

    :param zone: of the VM.
    :param calls_per_s: calls that its callers asked for.
    :param call_bytes: mean bytes of a call and its response.
    :param servers: the calls by server.
    :param unreachable: zones in which it reaches no server.
    """

    zone: ids.Zone
    calls_per_s: float
    call_bytes: float
    servers: tuple[ServerCalls, ...] = ()
    unreachable: tuple[ids.Zone, ...] = ()


@dataclasses.dataclass(slots=True)
class _ServerCalls:
    """Calls to a server, of all VMs.

    :param calls: outstanding calls.
    :param ended: calls per second that ended.
    :param took_s: seconds that those of a second took together.
    """

    calls: float = 0.0
    ended: float = 0.0
    took_s: float = 0.0


class ServiceZones:
    """Balances the calls to a plain service over zones.

    :param costs: the crossing Costs.
    """

    def __init__(self, costs):
        self._costs = costs
        self._reports_by_vm = {}
        self._demand_by_zone = {}
        self._place_s_by_server = {}
        self._balance = zone_balance.ZoneBalance()
        self._decided_s = -math.inf

    def report(self, vm, load, servers, vms, now_s):
        """Record the report of a VM and decide anew if it is due.

        :param load: its ServiceLoad.
        :param servers: the BackendServers of the service.
        :param vms: the VMs with an open session.
        :returns: the Decision.
        """
        self._reports_by_vm[vm] = load, now_s
        if now_s < self._decided_s + DECIDE_INTERVAL_S:
            return dataclasses.replace(self._balance.decision, changed=False)
        self._decided_s = now_s
        self._forget(vms, now_s)
        self._measure(servers, now_s)
        return self._balance.decide(
            self.figures(servers, now_s),
            self._crossing_s,
            now_s,
            self._lost_links(now_s),
        )

    def figures(self, servers, now_s):
        """Return the ZoneFigures of all zones."""
        measured_s_by_zone = self._measured_s_by_zone()
        calls_by_id = self._calls(now_s)
        mean_s = self._mean_place_s()
        capacity_by_zone = collections.Counter()
        queue_by_zone = collections.Counter()
        for server in servers:
            place_s = self._place_s_by_server.get(_key(server), mean_s)
            capacity_by_zone[server.zone] += server.places / place_s
            waiting = max(0.0, calls_by_id[server.id].calls - server.places)
            queue_by_zone[server.zone] += waiting
        newest_s = max(measured_s_by_zone.values(), default=-math.inf)
        return [
            zone_balance.ZoneFigures(
                zone,
                self._demand_by_zone.get(zone, 0.0),
                capacity_by_zone[zone],
                queue_by_zone[zone],
                measured_s_by_zone.get(zone, newest_s),
            )
            for zone in capacity_by_zone.keys() | measured_s_by_zone.keys()
        ]

    def _calls(self, now_s):
        """Return the calls of all VMs by server."""
        calls_by_id = collections.defaultdict(_ServerCalls)
        for load, reported_s in self._reports_by_vm.values():
            if now_s - reported_s > REPORT_VALID_S:
                continue
            for calls in load.servers:
                total = calls_by_id[calls.server]
                total.calls += calls.calls
                if calls.call_s > 0:
                    # By Little's law, calls end at this rate.
                    total.ended += calls.calls / calls.call_s
                    total.took_s += calls.calls
        return calls_by_id

    def _measure(self, servers, now_s):
        """Update the demand of zones and the speeds of servers."""
        asked_by_zone = collections.Counter()
        for load, reported_s in self._reports_by_vm.values():
            known = now_s - reported_s <= REPORT_VALID_S
            asked_by_zone[load.zone] += load.calls_per_s if known else 0.0
        for zone, asked in asked_by_zone.items():
            known = self._demand_by_zone.get(zone, asked)
            self._demand_by_zone[zone] = known + DEMAND_EWMA_WEIGHT * (
                asked - known
            )
        for gone in self._demand_by_zone.keys() - asked_by_zone.keys():
            del self._demand_by_zone[gone]
        self._measure_speeds(servers, now_s)

    def _measure_speeds(self, servers, now_s):
        """Update the seconds for which a call takes a place of a server.

        A call that waits in the server's queue takes longer, so a server
        that holds more calls than it has places completes as many as it
        holds in the time that they take.
        """
        calls_by_id = self._calls(now_s)
        present = {_key(server) for server in servers}
        for gone in self._place_s_by_server.keys() - present:
            del self._place_s_by_server[gone]
        for server in servers:
            total = calls_by_id[server.id]
            if total.ended <= 0:
                continue
            place_s = total.took_s / total.ended
            place_s *= min(1.0, server.places / max(total.calls, 1e-6))
            place_s = max(place_s, MIN_CALL_S)
            known_s = self._place_s_by_server.setdefault(_key(server), place_s)
            self._place_s_by_server[_key(server)] += SPEED_EWMA_WEIGHT * (
                place_s - known_s
            )

    def _mean_place_s(self):
        """Return the mean over the servers, assumed of an unknown one."""
        known = self._place_s_by_server.values()
        return sum(known) / len(known) if known else DEFAULT_CALL_S

    def _lost_links(self, now_s):
        """Return the links that all fresh reports of a zone call lost."""
        lost_by_zone = {}
        for load, reported_s in self._reports_by_vm.values():
            if now_s - reported_s > REPORT_VALID_S:
                continue
            lost = set(load.unreachable)
            known = lost_by_zone.get(load.zone)
            lost_by_zone[load.zone] = lost if known is None else known & lost
        return frozenset(
            (zone, target)
            for zone, lost in lost_by_zone.items()
            for target in lost
        )

    def _crossing_s(self, origin, target):
        loads = [load for load, _ in self._reports_by_vm.values()]
        total = sum(load.calls_per_s for load in loads)
        size = sum(load.calls_per_s * load.call_bytes for load in loads)
        return crossing.leg_s(
            self._costs, origin, target, size / total if total else 0.0
        )

    def _measured_s_by_zone(self):
        """Return when each zone with VMs was last heard of.

        VMs that get no calls stop to report, which does not make their
        last report stale.
        """
        newest_s = max(
            (reported_s for _, reported_s in self._reports_by_vm.values()),
            default=-math.inf,
        )
        measured_s_by_zone = {}
        for load, reported_s in self._reports_by_vm.values():
            heard_s = reported_s if load.calls_per_s > 0 else newest_s
            known_s = measured_s_by_zone.get(load.zone, -math.inf)
            measured_s_by_zone[load.zone] = max(known_s, heard_s)
        return measured_s_by_zone

    def _forget(self, vms, now_s):
        """Forget VMs that are gone, or got no calls for long.

        One that got calls and is silent is kept: it is cut off, and what
        its zone can bear is not known.
        """
        for vm, (load, reported_s) in tuple(self._reports_by_vm.items()):
            idle = load.calls_per_s <= 0 and (
                now_s - reported_s > zone_balance.KEEP_STALE_S
            )
            if idle or vm not in vms:
                del self._reports_by_vm[vm]


def _key(server):
    """Return what tells the runs of a server apart."""
    return server.id, server.incarnation
