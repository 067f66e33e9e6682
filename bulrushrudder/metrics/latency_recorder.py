"""Latencies of the tokens of one request."""


class LatencyRecorder:
    """Records the latencies of the tokens sent to a caller.

    :param first: histogram of the time to the first token.
    :param between: histogram of the time between tokens.
    :param started_s: monotonic seconds at which the request arrived.
    """

    def __init__(self, first, between, started_s):
        self._first = first
        self._between = between
        self._started_s = started_s
        self._last_s = None

    def record_token(self, now_s):
        """Record a token sent at the given monotonic seconds."""
        if self._last_s is None:
            self._first.observe(now_s - self._started_s)
        else:
            self._between.observe(now_s - self._last_s)
        self._last_s = now_s
