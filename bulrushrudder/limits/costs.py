"""What a request is charged before an engine has counted its prompt."""

MARKUP_TOKENS = 16


def prompt_bound(prompt_bytes):
    """Return a number of tokens that no prompt of this size exceeds.

    A token of a byte-level vocabulary covers at least one byte; the
    engine adds a few tokens that mark the start and the turns.

    :param prompt_bytes: length of the prompt in UTF-8.
    """
    return prompt_bytes + MARKUP_TOKENS


def charge(prompt_bytes, output_tokens, min_prompt_tokens, burst):
    """Return the tokens that a request is charged at admission.

    The bound is withheld until the engine has counted. Where only the
    bound is above the burst, the whole burst is withheld instead.

    :param output_tokens: the bound on output.
    :param least_prompt_tokens: tokens that the prompt surely has.
    """
    bound = prompt_bound(prompt_bytes) + output_tokens
    if bound <= burst or min_prompt_tokens + output_tokens > burst:
        return bound
    return burst
