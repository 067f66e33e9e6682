"""Decides in which zone the calls of a VM to a plain service are served."""

import enum
import math

from bulrushrudder.core import ranking
from bulrushrudder.placement import crossing
from bulrushrudder.placement import zone_balance


class Rule(enum.Enum):
    """By which rule a zone was chosen."""

    PLAN = 'plan'
    FALLBACK = 'fallback'


class ZoneSpread:
    """Follows the coordinator's decision, or a rule of its own.

    While the last word of the service's coordinator is fresh, calls go to
    zones by its shares. Otherwise the VM's own zone is preferred, and among
    zones that cost the same, each VM has an order of its own by highest
    random weight, so that not all VMs choose the same neighbour.

    :param vm: id of this VM.
    :param zone: its availability zone.
    :param costs: the crossing Costs.
    """

    def __init__(self, vm, zone, costs):
        self._vm = vm
        self._zone = zone
        self._costs = costs
        self._decision = zone_balance.Decision((), -math.inf, False)
        self._draw = zone_balance.ShareDraw()
        self._weights = {}

    def update(self, shares, until_s):
        """Apply the word of the coordinator.

        :param shares: the Shares of all zones.
        :param until_s: monotonic seconds until which they hold.
        """
        self._decision = zone_balance.Decision(shares, until_s, False)

    def rule(self, now_s):
        """Return the Rule that is in force."""
        if now_s <= self._decision.until_s:
            return Rule.PLAN
        return Rule.FALLBACK

    def draw(self, size, now_s):
        """Return the zone that should serve the next call.

        :param size: bytes that the call sends; one that costs more than
            the wait that it saves stays in the zone.
        """
        if self.rule(now_s) is Rule.FALLBACK:
            return self._zone
        targets = self._decision.targets(self._zone)
        drawn = self._draw.draw(self._zone, targets)
        cost_s = crossing.leg_s(self._costs, self._zone, drawn, size)
        if cost_s > self._decision.worth_s(self._zone, drawn):
            return self._zone
        return drawn

    def reason(self, target, now_s):
        """Return the reason for which a call goes to another zone."""
        if self.rule(now_s) is Rule.FALLBACK:
            return Rule.FALLBACK.value
        for share in self._decision.shares:
            if share.origin == self._zone and share.target == target:
                return share.reason.value
        return 'own_calls'

    def order(self, zone):
        """Return the key by which zones of equal load are ordered."""
        cost_s = crossing.leg_s(self._costs, self._zone, zone, 1e6)
        return cost_s, -self.weight(zone)

    def weight(self, member):
        """Return the random weight of a zone or a server for this VM."""
        weight = self._weights.get(member)
        if weight is None:
            weight = ranking.weight(self._vm, member)
            self._weights[member] = weight
        return weight
