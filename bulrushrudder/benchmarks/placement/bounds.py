"""Upper bound of the goodput."""


def max_goodput(fleet, requests, seconds):
    """Return an upper bound on the share of requests that meet targets.

    Even if every length were known in advance, the servers can compute
    only a limited number of prompt tokens until the last first token is
    due, and of output tokens until the last answer is due. The shortest
    requests are counted until either number is used up.

    :param seconds: seconds for which requests arrive.
    """
    last_due_s = seconds + max(kind.first_token_s for kind in fleet.kinds)
    longest_decode_s = max(
        r.output_tokens * r.kind.between_tokens_s for r in requests
    )
    output_tokens = fleet.capacity() * (last_due_s + longest_decode_s)
    sorted_outputs = sorted(request.output_tokens for request in requests)
    prompt_tokens = fleet.prefills * fleet.prefill_tokens_per_s * last_due_s
    sorted_prompts = sorted(
        _min_prefill_tokens(request) for request in requests
    )
    max_good = min(
        _count_affordable(sorted_outputs, output_tokens),
        _count_affordable(sorted_prompts, prompt_tokens),
    )
    return max_good / len(requests)


def _min_prefill_tokens(request):
    return request.prompt_tokens * (1 - request.kind.shared_prefix_share)


def _count_affordable(costs, available):
    count = 0
    for cost in costs:
        available -= cost
        if available < 0:
            return count
        count += 1
    return count
