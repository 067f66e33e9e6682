"""Joint choice of prefill server, transfer link and decode server."""

import collections
import dataclasses

from bulrushrudder.backpressure import rate_limiter
from bulrushrudder.placement import crossing
from bulrushrudder.placement import decode_server
from bulrushrudder.placement import events
from bulrushrudder.placement import prefills

# A transfer must start within this time after its prefill.
RESULT_RETENTION_S = 0.8
MAX_PREFILL_WAIT_S = 0.05
# Cost of a leg that ends in another zone than the pool's balance wants: more
# than a nearly full server costs, as the balance has counted how full zones
# are, and less than a failing one.
OFF_PLAN_COST_S = 0.2
FULL_SERVER_COST_S = 0.1
# A failed request has lost its waiting time and may not be retried, so
# any server with room that fails less often is preferred.
FAILING_SERVER_COST_S = 1.0
ISOLATION_MARGIN_S = 0.5
MAX_PREFILL_PLANS = 3
NO_LIMITS = rate_limiter.RateLimiter()


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Servers for a request, with the expected times.

    :param prefill: None if the decode server processes the prompt; the
        transfer times are then those of the prompt.
    :param transfer_start_s: monotonic seconds at which the transfer
        starts.
    :param transfer_end_s: monotonic seconds at which it ends.
    :param first_token_s: monotonic seconds of the first token.
    """

    prefill: prefills.PrefillPlan | None
    decode: decode_server.DecodeServer
    transfer_start_s: float
    transfer_end_s: float
    first_token_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Blocked:
    """No placement is possible now.

    :param claimed: the decode server whose memory the request waits
        for, if any.
    """

    claimed: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Constraints:
    """What a placement must leave to other requests.

    :param spare_pieces: pieces of memory to leave free on the decode
        server.
    :param claimed: decode servers whose memory other requests wait for.
    :param max_prefill_wait_s: seconds that the prefill may wait for its
        server.
    :param limiter: paces the requests to servers that state a limit or
        are cold; a RateLimiter or a Pacing.
    :param costs: what the bytes between zones cost.
    :param preference: the zones that should serve the request, if any.
    """

    spare_pieces: int = 0
    claimed: frozenset[str] = frozenset()
    max_prefill_wait_s: float = MAX_PREFILL_WAIT_S
    limiter: rate_limiter.RateLimiter = NO_LIMITS
    costs: crossing.Costs = crossing.FIXED
    preference: crossing.Preference | None = None


def choose(request, prefill_pool, decode_pool, constraints, now_s):
    """Choose servers for a request.

    :returns: a Placement, or Blocked.
    """
    options = placements(
        request, prefill_pool, decode_pool, constraints, now_s
    )
    if isinstance(options, Blocked):
        return options
    return min(
        options,
        key=lambda placement: cost(placement, request, constraints, now_s),
        default=Blocked(),
    )


def placements(request, prefill_pool, decode_pool, constraints, now_s):
    """Return the Placements that are possible now, or Blocked."""
    if not prefill_pool.has_server(request.excluded):
        return _decode_only(request, decode_pool, constraints, now_s)
    max_prefill_wait_s = constraints.max_prefill_wait_s
    if request.isolation is not events.Isolation.NONE:
        max_prefill_wait_s = 0.0
    limiter = constraints.limiter
    plans = [
        plan
        for plan in prefill_pool.plans(
            request, now_s, len(limiter.limited(prefill_pool.by_id))
        )
        if plan.start_s <= now_s + max_prefill_wait_s
        and limiter.wait_s(_server_id(plan), now_s) == 0
    ]
    if not plans and limiter.total_requests_per_s(prefill_pool.by_id):
        return _decode_only(request, decode_pool, constraints, now_s)
    if not plans:
        return Blocked()
    plans = _best_plans(plans, request, constraints)
    candidates = [
        known
        for known in _decode_candidates(
            request, decode_pool, constraints, now_s
        )
        if known.can_share(request.isolation)
    ]
    with_memory = [
        c
        for c in candidates
        if c.has_memory(request, constraints.spare_pieces, now_s)
    ]
    if not with_memory:
        return Blocked(_server_with_most_memory(candidates))
    return [
        placement
        for plan in plans
        for placement in _placements(
            plan, request, with_memory, constraints.costs
        )
        if decode_pool.fits(
            placement.decode, request, placement.transfer_end_s - now_s
        )
        and _is_worth_crossing(
            constraints,
            _crossing_s(placement, request, constraints),
        )
    ]


def _best_plans(plans, request, constraints):
    """Return the prefills for which decode servers are considered.

    Where bytes have a price, they are the best ones of each zone, as a
    prefill is cheap only together with a decode server in its zone.
    """
    ordered = sorted(
        plans,
        key=lambda plan: (
            _prefill_cost(plan, request, constraints.costs),
            _server_id(plan),
        ),
    )
    match constraints.costs:
        case crossing.FixedCosts():
            return ordered[:MAX_PREFILL_PLANS]
    counts = collections.Counter()
    best = []
    for plan in ordered:
        zone = plan.prefill_server.server.zone
        counts[zone] += 1
        if counts[zone] <= MAX_PREFILL_PLANS:
            best.append(plan)
    return best


def _decode_only(request, decode_pool, constraints, now_s):
    """Return Placements on decode servers that also process the prompt.

    A prompt delays the tokens of all requests on the server, so it
    processes at most one prompt per between-token target.
    """
    candidates = [
        known
        for known in _decode_candidates(
            request, decode_pool, constraints, now_s
        )
        if known.server.can_prefill
        and known.read_free_s <= now_s + MAX_PREFILL_WAIT_S
        and known.can_share(request.isolation)
        and known.has_memory(request, constraints.spare_pieces, now_s)
        and decode_pool.fits(known, request, 0.0)
        and _is_worth_crossing(
            constraints, _decode_only_s(known, request, constraints)
        )
    ]
    return [_read_by_decode(k, request, now_s) for k in candidates]


def _read_by_decode(known, request, now_s):
    start_s = max(now_s, known.read_free_s)
    end_s = start_s + known.prompt_read_s(request.prompt_tokens)
    return Placement(None, known, start_s, end_s, end_s)


def _decode_candidates(request, decode_pool, constraints, now_s):
    """Return the decode servers that may take a request now."""
    limiter = constraints.limiter
    further = len(limiter.limited(decode_pool.by_id))
    if request.software is not None:
        further = len(decode_pool.by_id)
    return [
        known
        for known in decode_pool.candidates(request.excluded, further)
        if known.server.id not in constraints.claimed
        and request.software in (None, known.server.software)
        and limiter.wait_s(known.server.id, now_s) == 0
    ]


def book(placement, prefill_pool, request):
    """Book the prefill and the links of a placement."""
    if placement.prefill is None:
        free_s = placement.transfer_start_s + request.between_tokens_s
        placement.decode.read_free_s = max(placement.transfer_end_s, free_s)
        return
    prefill_pool.book(placement.prefill, request.prefix)
    if request.isolation is not events.Isolation.NONE:
        placement.prefill.prefill_server.isolated_until_s = (
            placement.transfer_end_s + ISOLATION_MARGIN_S
        )
    placement.prefill.prefill_server.link_free_s = placement.transfer_end_s
    placement.decode.link_free_s = placement.transfer_end_s


def _server_with_most_memory(candidates):
    best = min(
        candidates,
        key=lambda known: (known.held_pieces, known.server.id),
        default=None,
    )
    return best.server.id if best else None


def _placements(plan, request, candidates, costs):
    for decode in candidates:
        source = plan.prefill_server
        transfer_start_s = max(
            plan.end_s, source.link_free_s, decode.link_free_s
        )
        if transfer_start_s > plan.end_s + RESULT_RETENTION_S:
            continue
        rate = min(
            source.server.link_tokens_per_s, decode.server.link_tokens_per_s
        )
        # A rate of 0 is unknown; the transfer then counts as immediate.
        transfer_s = request.prompt_tokens / rate if rate > 0 else 0.0
        transfer_s *= crossing.transfer_slowdown(
            costs, source.server.zone, decode.server.zone
        )
        transfer_end_s = transfer_start_s + transfer_s
        first_token_s = transfer_end_s + decode.steps.mean_step_s
        yield Placement(
            plan, decode, transfer_start_s, transfer_end_s, first_token_s
        )


def _prefill_cost(plan, request, costs):
    """Return the cost in seconds, with the delay of later requests."""
    cost_s = plan.end_s + plan.end_s - plan.start_s
    zone = plan.prefill_server.server.zone
    return cost_s + crossing.prompt_s(costs, request, zone)


def _decode_cost(known, now_s):
    """Return the cost of fill and failures of a server, in seconds."""
    return (
        known.load * FULL_SERVER_COST_S
        + known.failure_share_at(now_s) * FAILING_SERVER_COST_S
    )


def cost(placement, request, constraints, now_s):
    """Return the key by which the best placement is the lowest.

    It begins with a cost in seconds; costs with and without a prefill server
    are not comparable.
    """
    server = placement.decode.server
    if placement.prefill is None:
        cost_s = (
            _decode_cost(placement.decode, now_s)
            + _decode_only_s(placement.decode, request, constraints)
            + _off_plan_s(constraints, None, server.zone)
        )
        return cost_s, server.id, ''
    zone_cost_s = _crossing_s(placement, request, constraints)
    decode = _decode_cost(placement.decode, now_s)
    end_s = (
        placement.transfer_end_s
        + placement.prefill.end_s
        - placement.prefill.start_s
    )
    off_plan_s = _off_plan_s(
        constraints, placement.prefill.prefill_server.server.zone, server.zone
    )
    return (
        end_s + zone_cost_s + decode + off_plan_s,
        server.id,
        _server_id(placement.prefill),
    )


def _crossing_s(placement, request, constraints):
    """Return the cost of the zones that a placement changes, in seconds."""
    return crossing.placement_s(
        constraints.costs,
        request,
        placement.prefill.prefill_server.server.zone,
        placement.decode.server.zone,
    )


def _decode_only_s(known, request, constraints):
    return crossing.decode_only_s(
        constraints.costs, request, known.server.zone
    )


def _off_plan_s(constraints, prefill_zone, decode_zone):
    """Return the cost of zones that the pool's balance does not want.

    :param prefill_zone: None if the decode server reads the prompt.
    """
    wanted = constraints.preference
    if wanted is None:
        return 0.0
    wrong_decode = wanted.decode not in (None, decode_zone)
    # Off the plan, the prefill belongs to its decode server.
    wanted_prefill = decode_zone if wrong_decode else wanted.prefill
    wrong_prefill = (
        None not in (prefill_zone, wanted_prefill)
        and prefill_zone != wanted_prefill
    )
    return (wrong_decode + wrong_prefill) * OFF_PLAN_COST_S


def _is_worth_crossing(constraints, crossing_s):
    """Return whether a request should cross zones rather than wait."""
    wanted = constraints.preference
    return wanted is None or crossing_s <= wanted.max_crossing_s


def _server_id(plan):
    return plan.prefill_server.server.id
