"""Joint choice of prefill server, link and decode server."""

import dataclasses

from bulrushrudder.placement import decode_server
from bulrushrudder.placement import events
from bulrushrudder.placement import prefills

RESULT_LIFE_S = 0.8
PIPELINE_S = 0.05
OTHER_ZONE_S = 0.01
FILL_S = 0.1
# A request that fails has waited in vain and may not come again; any
# server that fails less and has room goes first.
FAILING_S = 1.0
ALONE_S = 0.5
MOST_PREFILLS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """Servers for a request, with the times to expect.

    :param prefill: None where the decode server reads the prompt.
    :param link_s: monotonic seconds at which the transfer begins.
    :param transfer_s: monotonic seconds at which it ends.
    :param first_token_s: monotonic seconds of the first token.
    """

    prefill: prefills.PrefillPlan | None
    decode: decode_server.DecodeServer
    link_s: float
    transfer_s: float
    first_token_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Blocked:
    """No servers can take the request now.

    :param claimed: the decode server whose memory it waits for, if any.
    """

    claimed: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What a request must leave to others.

    :param pieces: pieces of memory to leave free on a decode server.
    :param claimed: decode servers whose memory others wait for.
    :param pipeline_s: seconds that its prefill may wait at a server.
    """

    pieces: int = 0
    claimed: frozenset[str] = frozenset()
    pipeline_s: float = PIPELINE_S


def choose(asked, prefill_pool, decode_pool, terms, now_s):
    """Choose servers for a request.

    :returns: a Chosen, or Blocked.
    """
    if not prefill_pool.any_present(asked.excluded):
        return _choose_alone(asked, decode_pool, terms, now_s)
    pipeline_s = terms.pipeline_s
    if asked.isolation is not events.Isolation.NONE:
        pipeline_s = 0.0
    plans = [
        plan
        for plan in prefill_pool.plans(asked, now_s)
        if plan.start_s <= now_s + pipeline_s
    ]
    if not plans:
        return Blocked()
    plans.sort(key=lambda plan: (_prefill_cost(plan, asked), _id(plan)))
    candidates = [
        known
        for known in decode_pool.candidates(asked.excluded)
        if known.server.id not in terms.claimed
        and known.is_open_to(asked.isolation)
    ]
    roomy = [c for c in candidates if c.has_memory(asked, terms.pieces, now_s)]
    if not roomy:
        return Blocked(_roomiest(candidates))
    found = [
        chosen
        for plan in plans[:MOST_PREFILLS]
        for chosen in _with_decodes(plan, asked, roomy)
        if decode_pool.fits(chosen.decode, asked, chosen.transfer_s - now_s)
    ]
    return min(
        found,
        key=lambda chosen: _cost(chosen, asked, now_s),
        default=Blocked(),
    )


def _choose_alone(asked, decode_pool, terms, now_s):
    """Choose a decode server that reads the prompt by itself.

    What it reads holds up the tokens of all that run there, so it reads
    one prompt within the time that they may take for a token.
    """
    candidates = [
        known
        for known in decode_pool.candidates(asked.excluded)
        if known.server.can_prefill
        and known.read_free_s <= now_s + PIPELINE_S
        and known.server.id not in terms.claimed
        and known.is_open_to(asked.isolation)
        and known.has_memory(asked, terms.pieces, now_s)
        and decode_pool.fits(known, asked, 0.0)
    ]
    found = min(
        candidates,
        key=lambda k: (_decode_cost(k, now_s), k.server.id),
        default=None,
    )
    if found is None:
        return Blocked()
    start_s = max(now_s, found.read_free_s)
    end_s = start_s + found.read_s(asked.prompt_tokens)
    return Chosen(None, found, start_s, end_s, end_s)


def book(chosen, prefill_pool, asked):
    """Book the prefill and the links of a choice."""
    if chosen.prefill is None:
        free_s = chosen.link_s + asked.between_tokens_s
        chosen.decode.read_free_s = max(chosen.transfer_s, free_s)
        return
    prefill_pool.take(chosen.prefill, asked.prefix)
    if asked.isolation is not events.Isolation.NONE:
        chosen.prefill.chosen.alone_until_s = chosen.transfer_s + ALONE_S
    chosen.prefill.chosen.link_free_s = chosen.transfer_s
    chosen.decode.link_free_s = chosen.transfer_s


def _roomiest(candidates):
    found = min(
        candidates,
        key=lambda known: (known.pieces, known.server.id),
        default=None,
    )
    return found.server.id if found else None


def _with_decodes(plan, asked, candidates):
    for decode in candidates:
        source = plan.chosen
        link_s = max(plan.end_s, source.link_free_s, decode.link_free_s)
        if link_s > plan.end_s + RESULT_LIFE_S:
            continue
        rate = min(
            source.server.link_tokens_per_s, decode.server.link_tokens_per_s
        )
        transfer_s = link_s + asked.prompt_tokens / rate
        first_token_s = transfer_s + decode.steps.expected_s
        yield Chosen(plan, decode, link_s, transfer_s, first_token_s)


def _prefill_cost(plan, asked):
    """Count work once for the request and once for those behind it."""
    cost = plan.end_s + plan.end_s - plan.start_s
    return cost + _zone_cost(plan.chosen.server.zone, asked.zone)


def _decode_cost(known, now_s):
    """Count how full a decode server is and how much it fails."""
    return known.fill * FILL_S + known.failing(now_s) * FAILING_S


def _cost(chosen, asked, now_s):
    server = chosen.decode.server
    zone = chosen.prefill.chosen.server.zone
    zone_s = _zone_cost(asked.zone, zone) + _zone_cost(zone, server.zone)
    decode = _decode_cost(chosen.decode, now_s)
    end_s = chosen.transfer_s + chosen.prefill.end_s - chosen.prefill.start_s
    return (end_s + zone_s + decode, server.id, _id(chosen.prefill))


def _zone_cost(one, other):
    return 0.0 if one == other else OTHER_ZONE_S


def _id(plan):
    return plan.chosen.server.id
