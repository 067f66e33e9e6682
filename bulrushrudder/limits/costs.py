"""Cost of a request before an engine has counted its prompt."""

MARKUP_TOKENS = 16


def prompt_bound(prompt_bytes):
    """Return an upper bound on the tokens of a prompt.

    A token of a byte-level vocabulary covers at least one byte. The
    engine adds a few markup tokens for the start and the turns.

    :param prompt_bytes: length of the prompt in UTF-8.
    """
    return prompt_bytes + MARKUP_TOKENS


def charge(prompt_bytes, output_tokens, min_prompt_tokens, burst):
    """Return the tokens that a request is charged at admission.

    The upper bound is charged; what was not used is refunded once the
    engine has counted. A request whose upper bound exceeds the burst
    while its lower bound does not is charged the burst.

    :param prompt_bytes: length of the prompt in UTF-8.
    :param output_tokens: limit on output tokens.
    :param min_prompt_tokens: lower bound on the tokens of the prompt.
    :param burst: burst of the account, in tokens.
    """
    bound = prompt_bound(prompt_bytes) + output_tokens
    if bound <= burst or min_prompt_tokens + output_tokens > burst:
        return bound
    return burst
