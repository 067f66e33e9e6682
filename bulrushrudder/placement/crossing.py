"""Cost of what a request sends between availability zones, in seconds."""

import dataclasses

from bulrushrudder.core import ids

# Cost of any change of zone where the settings state no price.
CROSS_ZONE_COST_S = 0.01
# A round trip between zones takes 1.8 to 2.8 ms more than within one.
ROUND_TRIP_S = 0.0025
# A transfer between zones takes twice the time of one within a zone.
TRANSFER_SLOWDOWN = 2.0
# Average bytes of prompt text that one token covers.
PROMPT_BYTES_PER_TOKEN = 4
# A streamed token with its event; 68 tokens take about 7 kB.
ANSWER_BYTES_PER_TOKEN = 100


@dataclasses.dataclass(frozen=True, slots=True)
class FixedCosts:
    """Each change of zone costs the same, whatever is sent.

    :param crossing_s: cost of a change of zone.
    """

    crossing_s: float = CROSS_ZONE_COST_S


@dataclasses.dataclass(frozen=True, slots=True)
class ByteCosts:
    """A change of zone costs what the bytes cost, in time of the caller.

    :param zone_byte_cost: price of a byte between zones of a region.
    :param region_byte_cost: price of a byte between regions.
    :param second_value: what a second of waiting is worth to a caller,
        in the same currency.
    :param cache_bytes_per_token: bytes of KV cache per prompt token; 0 if
        unknown.
    :param regions: pairs of zone and region; zones that are not listed
        are in one region.
    """

    zone_byte_cost: float
    region_byte_cost: float
    second_value: float
    cache_bytes_per_token: float = 0.0
    regions: tuple[tuple[str, str], ...] = ()

    def byte_cost(self, one, other):
        """Return the price of a byte between two zones."""
        region_by_zone = dict(self.regions)
        if region_by_zone.get(one) == region_by_zone.get(other):
            return self.zone_byte_cost
        return self.region_byte_cost


Costs = FixedCosts | ByteCosts
FIXED = FixedCosts()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBytes:
    """Bytes that a request to a model sends on each leg.

    :param prompt: from the VM to the server that reads the prompt.
    :param cache: from the prefill to the decode server.
    :param answer: from the decode server to the VM.
    """

    prompt: float
    cache: float
    answer: float


@dataclasses.dataclass(frozen=True, slots=True)
class Preference:
    """The zones in which the pool's balance wants a request to be served.

    :param prefill: zone of its prefill server; None for any.
    :param decode: zone of its decode server; None for any.
    :param max_crossing_s: cost of crossing that the wait which it saves
        is worth, in seconds; a placement that costs more is not taken.
    """

    prefill: ids.Zone | None
    decode: ids.Zone | None
    max_crossing_s: float


def of_bounds(bounds):
    """Return the Costs that the bounds of the settings state.

    :param bounds: the FleetBounds, or None.
    """
    if bounds is None or bounds.cross_zone_byte_cost is None:
        return FIXED
    region_byte_cost = bounds.cross_region_byte_cost
    if region_byte_cost is None:
        region_byte_cost = bounds.cross_zone_byte_cost
    return ByteCosts(
        bounds.cross_zone_byte_cost,
        region_byte_cost,
        bounds.caller_second_value,
        bounds.cache_bytes_per_token,
        tuple(sorted(bounds.region_by_zone)),
    )


def request_bytes(costs, prompt_tokens, answer_tokens):
    """Return the RequestBytes of a request to a model.

    The KV cache counts as nothing where its size is unknown.
    """
    per_token = 0.0
    match costs:
        case ByteCosts(cache_bytes_per_token=per_token):
            pass
    return RequestBytes(
        prompt_tokens * PROMPT_BYTES_PER_TOKEN,
        prompt_tokens * per_token,
        answer_tokens * ANSWER_BYTES_PER_TOKEN,
    )


def leg_s(costs, one, other, size, via=None):
    """Return the cost of sending bytes from one zone to another.

    :param size: the number of bytes.
    :param via: zone of the VM through which a tunnel leads, None for a
        direct connection.
    """
    if via is not None:
        return leg_s(costs, one, via, size) + leg_s(costs, via, other, size)
    if one == other:
        return 0.0
    match costs:
        case FixedCosts(crossing_s=crossing_s):
            return crossing_s
        case ByteCosts():
            price = size * costs.byte_cost(one, other)
            return ROUND_TRIP_S + price / costs.second_value
    raise AssertionError(f'unknown costs {costs!r}')


def prompt_s(costs, request, zone):
    """Return the cost of sending a prompt to a server of a zone.

    :param request: the PlacementRequested.
    """
    return leg_s(costs, request.zone, zone, _bytes(costs, request).prompt)


def placement_s(costs, request, prefill_zone, decode_zone):
    """Return the cost of all legs of a request as one choice.

    With fixed costs, the answer counts as nothing.
    """
    match costs:
        case FixedCosts():
            return leg_s(costs, request.zone, prefill_zone, 0) + leg_s(
                costs, prefill_zone, decode_zone, 0
            )
    sizes = _bytes(costs, request)
    return (
        leg_s(costs, request.zone, prefill_zone, sizes.prompt)
        + leg_s(costs, prefill_zone, decode_zone, sizes.cache)
        + leg_s(costs, decode_zone, request.zone, sizes.answer)
    )


def decode_only_s(costs, request, zone):
    """Return the cost of a decode server that also reads the prompt.

    With fixed costs, its zone counts as nothing.
    """
    match costs:
        case FixedCosts():
            return 0.0
    return placement_s(costs, request, zone, zone)


def transfer_slowdown(costs, one, other):
    """Return by how much the distance of zones slows a transfer down."""
    match costs:
        case ByteCosts() if one != other:
            return TRANSFER_SLOWDOWN
    return 1.0


def _bytes(costs, request):
    answer_tokens = request.expected_tokens or request.output_tokens
    return request_bytes(costs, request.prompt_tokens, answer_tokens)
