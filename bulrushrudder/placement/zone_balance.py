"""Decides which share of each zone's work leaves it, and where to.

One place decides for a pool: the coordinator of its model or service. It
calls `ZoneBalance.decide` with figures of each zone. Work is counted in
requests, and capacity in requests that the servers complete per second at
their measured speed.
"""

import collections
import dataclasses
import enum
import math

from bulrushrudder.core import ids

# Servers send their load every second or two, VMs every second; older
# figures have missed at least two reports.
STALE_AFTER_S = 5.0
# Time for which the shares of a zone hold after its figures were last
# fresh; its work then stays in it, and no other zone's work goes there.
KEEP_STALE_S = 10.0
# A decision lasts for three rounds of VMs that ask once a second.
VALID_S = 3.0
# Load from which work leaves a zone, to which it is lowered, and below
# which all work returns. Random arrivals queue noticeably from nine tenths
# on; the gap keeps a demand at the limit from switching back and forth.
START_LOAD = 0.95
TARGET_LOAD = 0.9
STOP_LOAD = 0.8
# Time in which a queue is to be worked off.
DRAIN_S = 2.0
# Time for which excess demand is assumed to last when the wait is judged.
HORIZON_S = 5.0
# Share of a zone's capacity by which it is filled per second after it has
# grown: a zone that returns is full after ten seconds.
FILL_PER_S = 0.1
# Shares that differ by less than this, or by less than this part of what
# they were, are not changed: such differences are the noise of a demand that
# is measured over a few seconds.
MIN_CHANGE_SHARE = 0.05
MIN_CHANGE_PART = 0.2


class Reason(enum.Enum):
    """Why work leaves a zone."""

    OVERLOAD = 'overload'
    NO_SERVER = 'no_server'


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneFigures:
    """What is known of a zone for one pool.

    :param demand: requests per second from the VMs of the zone.
    :param capacity: requests per second that its servers complete.
    :param queue: requests that wait for its servers.
    :param measured_s: monotonic seconds of the oldest figure.
    """

    zone: ids.Zone
    demand: float
    capacity: float
    queue: float
    measured_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A share of the work of a zone that another zone takes.

    :param worth_s: seconds of waiting that a request saves by leaving; one
        whose bytes cost more than that stays.
    """

    origin: ids.Zone
    target: ids.Zone
    share: float
    reason: Reason
    worth_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The shares of work that leave their zones.

    :param until_s: monotonic seconds until which it holds.
    :param changed: whether it differs from the decision before.
    """

    shares: tuple[Share, ...]
    until_s: float
    changed: bool

    def targets(self, zone):
        """Return the share of each zone that serves a zone's work."""
        leaving = {s.target: s.share for s in self.shares if s.origin == zone}
        return {zone: max(0.0, 1.0 - sum(leaving.values())), **leaving}

    def worth_s(self, origin, target):
        """Return the seconds that a request saves by going to a zone.

        It is 0 for work that stays, and for a zone that gets no share.
        """
        for share in self.shares:
            if (share.origin, share.target) == (origin, target):
                return share.worth_s
        return 0.0


@dataclasses.dataclass(slots=True)
class _ZoneState:
    """What is kept of a zone between decisions.

    :param filled: requests per second up to which it may be filled.
    :param leaving: whether a share of its work leaves.
    :param worth_s: the longest expected wait since then, in seconds.
    """

    filled: float
    updated_s: float
    leaving: bool = False
    worth_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Excess:
    """Work that is to leave a zone, in requests per second.

    :param worth_s: seconds of waiting that leaving saves.
    """

    zone: ids.Zone
    demand: float
    amount: float
    worth_s: float
    reason: Reason


class ZoneBalance:
    """Decides for one pool.

    A zone first seen in the first decision counts as filled, because a new
    decider doesn't know since when it has been in service.
    """

    def __init__(self):
        self._states_by_zone = {}
        self._decision = Decision((), -math.inf, False)

    @property
    def decision(self):
        """Return the last Decision."""
        return self._decision

    def decide(self, figures, crossing_s, now_s, lost_links=frozenset()):
        """Decide on the shares of all zones.

        :param figures: the ZoneFigures of each zone.
        :param crossing_s: function of two zones that returns the cost of
            sending an average request from one to the other, in seconds.
        :param now_s: monotonic seconds.
        :param lost_links: pairs of zones, from the first of which the
            second cannot be reached.
        :returns: the Decision.
        """
        first = not self._states_by_zone
        excesses = []
        spare_by_zone = {}
        kept = []
        for zone in sorted(figures, key=lambda f: f.zone):
            if now_s - zone.measured_s > STALE_AFTER_S:
                kept += self._still_valid(zone.zone, now_s)
                continue
            state = self._fill(zone, first, now_s)
            excess = _excess(zone, state)
            if excess is not None:
                excesses.append(excess)
            else:
                spare_by_zone[zone.zone] = _spare(zone, state)
        known = {zone.zone for zone in figures}
        for gone in self._states_by_zone.keys() - known:
            del self._states_by_zone[gone]
        reachable = _reachable(excesses, spare_by_zone, crossing_s, lost_links)
        shares = _distribute(excesses, spare_by_zone, reachable)
        shares = self._steady([*kept, *shares], spare_by_zone, lost_links)
        changed = _outline(shares) != _outline(self._decision.shares)
        self._decision = Decision(shares, now_s + VALID_S, changed)
        return self._decision

    def _still_valid(self, zone, now_s):
        """Return the earlier shares of a zone whose figures are stale."""
        state = self._states_by_zone.get(zone)
        if state is None or now_s > state.updated_s + KEEP_STALE_S:
            return []
        return [s for s in self._decision.shares if s.origin == zone]

    def _fill(self, figures, first, now_s):
        """Update up to which capacity a zone may be filled."""
        state = self._states_by_zone.get(figures.zone)
        if state is None:
            filled = figures.capacity if first else 0.0
            state = _ZoneState(filled, now_s)
            self._states_by_zone[figures.zone] = state
        step = FILL_PER_S * figures.capacity * (now_s - state.updated_s)
        state.filled = min(figures.capacity, state.filled + step)
        state.updated_s = now_s
        return state

    def _steady(self, shares, spare_by_zone, lost_links):
        """Keep earlier shares that would change only a little."""
        before = {(s.origin, s.target): s for s in self._decision.shares}
        new = {(s.origin, s.target): s for s in shares}
        for pair, old in before.items():
            current = new.get(pair)
            if current is None:
                small = old.share < MIN_CHANGE_SHARE
                usable = pair[1] in spare_by_zone and pair not in lost_links
                if small and usable and self._is_leaving(pair[0]):
                    new[pair] = old
            elif abs(current.share - old.share) < max(
                MIN_CHANGE_SHARE, MIN_CHANGE_PART * old.share
            ):
                new[pair] = dataclasses.replace(current, share=old.share)
        return _normalised(new)

    def _is_leaving(self, zone):
        state = self._states_by_zone.get(zone)
        return state is not None and state.leaving


def _excess(figures, state):
    """Return the _Excess of a zone, None if its work stays."""
    if figures.capacity <= 0:
        state.leaving = True
        if figures.demand <= 0:
            return None
        return _Excess(
            figures.zone,
            figures.demand,
            figures.demand,
            math.inf,
            Reason.NO_SERVER,
        )
    load = figures.demand + figures.queue / DRAIN_S
    limit = (STOP_LOAD if state.leaving else START_LOAD) * state.filled
    if load <= limit or figures.demand <= 0:
        state.leaving = False
        state.worth_s = 0.0
        return None
    filled = max(state.filled, figures.capacity * FILL_PER_S)
    growth = max(0.0, figures.demand - state.filled) * HORIZON_S
    # Once work leaves, the queue that was the reason is gone, so the wait
    # that it saves is remembered until all work has returned.
    state.worth_s = max(state.worth_s, (figures.queue + growth) / filled)
    state.leaving = True
    amount = min(figures.demand, load - TARGET_LOAD * state.filled)
    return _Excess(
        figures.zone,
        figures.demand,
        max(0.0, amount),
        state.worth_s,
        Reason.OVERLOAD,
    )


def _spare(figures, state):
    used = figures.demand + figures.queue / DRAIN_S
    return max(0.0, TARGET_LOAD * state.filled - used)


def _reachable(excesses, spare_by_zone, crossing_s, lost_links):
    """Return the zones that may take each zone's work, by their cost.

    :returns: lists of pairs of cost in seconds and zone, by origin.
    """
    reachable = {}
    for excess in excesses:
        options = [
            (crossing_s(excess.zone, zone), zone)
            for zone, spare in spare_by_zone.items()
            if spare > 0 and (excess.zone, zone) not in lost_links
        ]
        reachable[excess.zone] = sorted(
            option for option in options if option[0] < excess.worth_s
        )
    return reachable


def _distribute(excesses, spare_by_zone, reachable):
    """Distribute excess work over spare capacity, the cheapest first.

    In each round, every zone asks the zones that are cheapest for it in
    proportion to what they have to spare, and each of them shares it out
    in proportion to what it is asked for. Work for which nothing is left
    stays in its zone, unless that has no server: the zones that take a part
    of it then take all.
    """
    spare = dict(spare_by_zone)
    left = {excess.zone: excess.amount for excess in excesses}
    sent = collections.Counter()
    for _ in range(2 * len(spare) + 1):
        asked = collections.Counter()
        for excess in excesses:
            asked.update(
                _ask(excess.zone, left[excess.zone], reachable, spare)
            )
        wanted_by_zone = collections.Counter()
        for (_, target), amount in asked.items():
            wanted_by_zone[target] += amount
        for (origin, target), amount in asked.items():
            scale = min(1.0, spare[target] / wanted_by_zone[target])
            sent[origin, target] += amount * scale
            left[origin] -= amount * scale
        for target, wanted in wanted_by_zone.items():
            spare[target] = max(0.0, spare[target] - wanted)
    by_zone = {excess.zone: excess for excess in excesses}
    return [
        _share(by_zone[origin], target, amount, left[origin])
        for (origin, target), amount in sorted(sent.items())
        if amount > 0
    ]


def _share(excess, target, amount, left):
    """Return the Share of a zone's work that another zone takes.

    :param amount: requests per second.
    :param left: requests per second that no zone has capacity for.
    """
    share = amount / excess.demand
    if excess.reason is Reason.NO_SERVER:
        share *= excess.amount / max(excess.amount - left, amount)
    return Share(
        excess.zone, target, min(1.0, share), excess.reason, excess.worth_s
    )


def _ask(origin, amount, reachable, spare):
    """Return what a zone asks of the cheapest zones that have any left."""
    options = [o for o in reachable[origin] if spare[o[1]] > 1e-9]
    if amount <= 1e-9 or not options:
        return {}
    cheapest = options[0][0]
    targets = [zone for cost, zone in options if cost == cheapest]
    total = sum(spare[zone] for zone in targets)
    return {
        (origin, zone): min(amount * spare[zone] / total, spare[zone])
        for zone in targets
    }


def _outline(shares):
    """Return what makes a decision differ from another one."""
    return [(s.origin, s.target, s.share, s.reason) for s in shares]


def _normalised(shares_by_pair):
    """Return shares in order, with a sum of at most 1 for each zone."""
    totals = collections.Counter()
    for share in shares_by_pair.values():
        totals[share.origin] += share.share
    return tuple(
        dataclasses.replace(s, share=s.share / max(1.0, totals[s.origin]))
        for _, s in sorted(shares_by_pair.items())
    )


class ShareDraw:
    """Draws the zone of each request so that the shares are met evenly."""

    def __init__(self):
        self._credit_by_pair = collections.defaultdict(float)

    def draw(self, origin, targets):
        """Return the zone that serves the next request of a zone.

        :param targets: the share of each zone; the shares sum up to 1.
        """
        if len(targets) == 1:
            return origin
        for target, share in targets.items():
            self._credit_by_pair[origin, target] += share
        drawn = max(
            sorted(targets), key=lambda t: self._credit_by_pair[origin, t]
        )
        self._credit_by_pair[origin, drawn] -= 1.0
        return drawn
