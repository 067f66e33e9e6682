"""How fast cold servers get requests."""

import dataclasses

# A permitted request is sent at most this long after its time, so that
# permits do not pile up and are used together.
MAX_LATENESS_S = 0.2
# Share of the bound for the coordinator that is in charge. The rest is for
# OTHERS other coordinators at the same time: those of VMs that cannot reach
# it, and one that takes over.
IN_CHARGE_SHARE = 0.75
OTHERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBounds:
    """How many requests a cold server may get in any one second.

    Requests are permitted evenly at some pace and sent within
    MAX_LATENESS_S. Those that are sent in a second were permitted in a
    second and that time, so they are at most one more than pace times this
    span.

    :param overrun: multiple of the rate that the server sustains.
    :param tolerance: requests beyond that.
    """

    overrun: float
    tolerance: float

    def most(self, requests_per_s):
        """Return the requests that a server may get in a second.

        :param requests_per_s: the rate that it sustains while it is cold.
        """
        return requests_per_s * self.overrun + self.tolerance

    def pace_in_charge(self, requests_per_s):
        """Return the pace of the coordinator that is in charge."""
        share = self.most(requests_per_s) * IN_CHARGE_SHARE
        return min(requests_per_s, _pace(share))

    def pace_of_others(self, requests_per_s):
        """Return the pace of each coordinator that may not be in charge."""
        rest = self.most(requests_per_s) * (1.0 - IN_CHARGE_SHARE)
        return min(requests_per_s, _pace(rest / OTHERS))

    def pace_beside(self, requests_per_s):
        """Return the pace of a single coordinator beside the one in charge.

        It applies to servers that were warm when this VM last heard of
        them, and leaves enough to VMs that are cut off.
        """
        in_charge = self.pace_in_charge(requests_per_s)
        taken = in_charge * (1.0 + MAX_LATENESS_S) + 1.0
        rest = self.most(requests_per_s) - taken
        return min(requests_per_s, _pace(rest))


def _pace(requests):
    """Return the pace at which no second has more than some requests."""
    return max(0.0, requests - 1.0) / (1.0 + MAX_LATENESS_S)


def of_bounds(bounds):
    """Return the ColdBounds of the settings, None if there are none.

    :param bounds: the FleetBounds, or None.
    """
    if bounds is None or bounds.cold_overrun <= 0:
        return None
    return ColdBounds(bounds.cold_overrun, bounds.cold_tolerance)
