"""What perfect knowledge could reach at the most."""


def max_goodput(fleet, requests, seconds):
    """Return an upper bound on the part of requests that can be good.

    Whoever knows every length in advance still has no more decode steps
    and prefill than the servers give until the last first token is due.
    The shortest requests are counted until either is used up.

    :param seconds: for which requests arrive.
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
