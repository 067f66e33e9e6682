"""Room on decode servers that lower ranks leave to higher ones."""

import collections

# Demand is measured over this time, and room is kept for as long.
WINDOW_S = 1.0


class RankRoom:
    """Demand of ranks, measured from arrivals, and the room kept for it.

    Room that running requests are expected to free within the window is
    as good as room that is free now, so only the rest is kept.
    """

    def __init__(self):
        self._arrivals = collections.deque()
        self._released_s = collections.deque()
        self._counts_by_rank = collections.Counter()
        self._first_s = None

    def record_request(self, rank, now_s):
        """Record the arrival of a placement request."""
        if self._first_s is None:
            self._first_s = now_s
        self._drop_old(now_s)
        self._arrivals.append((now_s, rank))
        self._counts_by_rank[rank] += 1

    def record_release(self, now_s):
        """Record that a request has freed its room."""
        self._drop_old(now_s)
        self._released_s.append(now_s)

    def kept(self, rank, now_s):
        """Return the number of requests that a rank leaves room for.

        It is 0 until demand has been measured for one window.
        """
        self._drop_old(now_s)
        if self._first_s is None or now_s < self._first_s + WINDOW_S:
            return 0
        demand = sum(
            count
            for other, count in self._counts_by_rank.items()
            if other < rank
        )
        return max(0, demand - len(self._released_s))

    def is_kept_from(self, queued, pool, now_s):
        """Return whether a request has to leave the free room to others.

        :param queued: the QueuedRequest.
        :param pool: the DecodePool.
        """
        kept = self.kept(queued.rank, now_s)
        if kept == 0:
            return False
        request = queued.request
        tokens = request.prompt_tokens + (
            request.expected_tokens or request.output_tokens
        )
        return not pool.has_room_for(kept + 1, tokens)

    def _drop_old(self, now_s):
        start_s = now_s - WINDOW_S
        while self._arrivals and self._arrivals[0][0] < start_s:
            _, rank = self._arrivals.popleft()
            self._counts_by_rank[rank] -= 1
        while self._released_s and self._released_s[0] < start_s:
            self._released_s.popleft()
