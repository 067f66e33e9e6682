"""The choice of servers with a constant for each change of zone.

It repeats how the choice was made before bytes between zones had a price,
so that tests can compare.
"""

from bulrushrudder.placement import choice

CROSS_ZONE_COST_S = 0.01


def choose(request, prefill_pool, decode_pool, now_s):
    """Return the ids of the prefill and the decode server, or None."""
    plans = sorted(
        (
            plan
            for plan in prefill_pool.plans(request, now_s)
            if plan.start_s <= now_s + choice.MAX_PREFILL_WAIT_S
        ),
        key=lambda plan: (
            2 * plan.end_s
            - plan.start_s
            + _zone_cost(plan.prefill_server.server.zone, request.zone),
            plan.prefill_server.server.id,
        ),
    )
    decodes = [
        known
        for known in decode_pool.candidates(request.excluded)
        if known.has_memory(request, 0, now_s)
    ]
    costs = [
        _cost(plan, known, request, now_s)
        for plan in plans[: choice.MAX_PREFILL_PLANS]
        for known in decodes
        if decode_pool.fits(
            known, request, _transfer_end_s(plan, known, request) - now_s
        )
    ]
    if not costs:
        return None
    _, decode, prefill = min(costs)
    return prefill, decode


def _cost(plan, known, request, now_s):
    zone = plan.prefill_server.server.zone
    end_s = _transfer_end_s(plan, known, request) + plan.end_s - plan.start_s
    zone_cost_s = _zone_cost(request.zone, zone) + _zone_cost(
        zone, known.server.zone
    )
    decode = (
        known.load * choice.FULL_SERVER_COST_S
        + known.failure_share_at(now_s) * choice.FAILING_SERVER_COST_S
    )
    return (
        end_s + zone_cost_s + decode,
        known.server.id,
        plan.prefill_server.server.id,
    )


def _transfer_end_s(plan, known, request):
    source = plan.prefill_server
    start_s = max(plan.end_s, source.link_free_s, known.link_free_s)
    rate = min(source.server.link_tokens_per_s, known.server.link_tokens_per_s)
    return start_s + (request.prompt_tokens / rate if rate > 0 else 0.0)


def _zone_cost(one, other):
    return 0.0 if one == other else CROSS_ZONE_COST_S
