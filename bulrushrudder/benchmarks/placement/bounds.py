"""What perfect knowledge could reach at the most."""


def most_good(fleet, requests, seconds):
    """Return an upper bound on the part of requests that can be good.

    Whoever knows every length in advance still has no more decode steps
    and prefill than the servers give until the last first token is due.
    The shortest requests are counted until either is used up.

    :param seconds: for which requests arrive.
    """
    last_s = seconds + max(kind.first_token_s for kind in fleet.kinds)
    longest_s = max(
        r.output_tokens * r.kind.between_tokens_s for r in requests
    )
    output_tokens = fleet.capacity() * (last_s + longest_s)
    outputs = sorted(request.output_tokens for request in requests)
    prompt_tokens = fleet.prefills * fleet.prefill_tokens_per_s * last_s
    prompts = sorted(_least_prefill(request) for request in requests)
    most = min(_count(outputs, output_tokens), _count(prompts, prompt_tokens))
    return most / len(requests)


def _least_prefill(request):
    return request.prompt_tokens * (1 - request.kind.shared)


def _count(costs, available):
    found = 0
    for cost in costs:
        available -= cost
        if available < 0:
            return found
        found += 1
    return found
