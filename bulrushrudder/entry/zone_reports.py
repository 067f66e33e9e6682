"""Reports calls to plain services and applies their coordinators' word.

Without prices for bytes between zones, nothing is reported.
"""

import asyncio

from bulrushrudder.core import ranking
from bulrushrudder.placement import call_meter
from bulrushrudder.placement import crossing
from bulrushrudder.placement import zone_spread

REPORT_INTERVAL_S = 1.0


class ZoneReports:
    """The ZoneSpread and the CallMeter of each service that is called.

    :param vm: id of this VM.
    :param zone: its availability zone.
    :param costs: the crossing Costs.
    :param doubts: function of a BackendServer that returns whether the
        path to it is lost.
    """

    def __init__(self, vm, zone, costs, doubts=lambda server: False):
        self.zone = zone
        self.costs = costs
        self._vm = vm
        self._doubts = doubts
        self._spreads_by_service = {}
        self._meters_by_service = {}

    @property
    def active(self):
        """Return whether the settings ask for a balance of zones."""
        return isinstance(self.costs, crossing.ByteCosts)

    def spread(self, service):
        """Return the ZoneSpread of a service, None if none is wanted."""
        if not self.active:
            return None
        spread = self._spreads_by_service.get(service)
        if spread is None:
            spread = zone_spread.ZoneSpread(self._vm, self.zone, self.costs)
            self._spreads_by_service[service] = spread
        return spread

    def meter(self, service):
        """Return the CallMeter of a service, None if none is wanted."""
        if not self.active:
            return None
        meter = self._meters_by_service.get(service)
        if meter is None:
            meter = call_meter.CallMeter(_now_s())
            self._meters_by_service[service] = meter
        return meter

    def reason(self, service, target):
        """Return the reason for which a call goes to another zone."""
        spread = self._spreads_by_service.get(service)
        if spread is None:
            return 'own_calls'
        return spread.reason(target, _now_s())

    async def run(self, client, servers_of):
        """Report all services in use until cancelled.

        :param client: the CoordinatorClient.
        :param servers_of: function of a service that returns its
            BackendServers by id.
        """
        # VMs that start together do not report at the same moment.
        part = ranking.weight(self._vm, 'report') / 2**64
        await asyncio.sleep(REPORT_INTERVAL_S * part)
        while self.active:
            await asyncio.gather(
                *(
                    self._report(client, service, meter, servers_of(service))
                    for service, meter in self._meters_by_service.items()
                    if not meter.is_idle(_now_s())
                )
            )
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _report(self, client, service, meter, servers_by_id):
        load = meter.take(
            self.zone, self._lost_zones(servers_by_id.values()), _now_s()
        )
        answer = await client.report_service_load(service, load)
        if answer is not None and answer.valid_s > 0:
            self.spread(service).update(
                answer.shares, _now_s() + answer.valid_s
            )

    def _lost_zones(self, servers):
        """Return the zones in which the paths to all servers are lost."""
        lost = {s.zone for s in servers if self._doubts(s)}
        return lost - {s.zone for s in servers if not self._doubts(s)}


def _now_s():
    return asyncio.get_running_loop().time()
