"""Times of the tokens of one request."""


class Latency:
    """Records when the tokens of a request go to its caller.

    :param first: the histogram of first tokens for its labels.
    :param between: the histogram of gaps for its labels.
    :param started_s: monotonic seconds at which the request came.
    """

    def __init__(self, first, between, started_s):
        self._first = first
        self._between = between
        self._started_s = started_s
        self._last_s = None

    def token(self, now_s):
        """Record a token at monotonic seconds."""
        if self._last_s is None:
            self._first.observe(now_s - self._started_s)
        else:
            self._between.observe(now_s - self._last_s)
        self._last_s = now_s
