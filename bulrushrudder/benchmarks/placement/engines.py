"""Simulated prefill and decode engines in virtual time."""

import collections
import dataclasses
import heapq
import itertools

from bulrushrudder.placement import decode_server
from bulrushrudder.placement import prefixes
from bulrushrudder.state import servers

RESULT_RETENTION_S = 0.8
MAX_CACHED_DIGESTS = 400


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a request.

    :param prefill: its PrefillEngine.
    :param decode: called with the attempt, returns its DecodeEngine.
    :param done: called with the attempt and whether it was whole.
    :param prefilled_s: virtual time at which its prefill ended.
    :param engine: the DecodeEngine to which it was submitted.
    :param result_used: whether its prefill result was transferred.
    """

    request: object
    prefill: object
    decode: object
    done: object
    prefilled_s: float = 0.0
    computed_tokens: float = 0.0
    first_token_s: float | None = None
    cancelled: bool = False
    engine: object = None
    result_used: bool = False


class PrefillEngine:
    """Computes one prompt at a time, interactive ones first.

    :param on_cache: called with stored and removed digests.
    """

    def __init__(self, clock, server, tokens_per_s, on_cache):
        self.server = server
        self.up = True
        self.computed_tokens = 0.0
        self.link_free_s = 0.0
        self._clock = clock
        self._tokens_per_s = tokens_per_s
        self._on_cache = on_cache
        self._queue = []
        self._queue_numbers = itertools.count()
        self._busy = False
        self._cache = collections.OrderedDict()

    @property
    def load(self):
        """Return the number of waiting and running prompts."""
        return len(self._queue) + self._busy

    def submit(self, attempt):
        """Queue a prompt."""
        if not self.up:
            self._clock.after(0.0, attempt.done, attempt, False)
            return
        low_priority = not attempt.request.kind.interactive
        item = (low_priority, next(self._queue_numbers), attempt)
        heapq.heappush(self._queue, item)
        self._start_next()

    def crash(self):
        """Fail the queued prompts; the running one fails at its end."""
        self.up = False
        for _, _, attempt in self._queue:
            attempt.done(attempt, False)
        self._queue.clear()

    def _start_next(self):
        while not self._busy and self._queue:
            _, _, attempt = heapq.heappop(self._queue)
            if attempt.cancelled:
                continue
            self._busy = True
            tokens = max(
                1.0,
                attempt.request.prompt_tokens
                - self._count_cached_tokens(attempt),
            )
            self.computed_tokens += tokens
            attempt.computed_tokens = tokens
            delay_s = tokens / self._tokens_per_s
            self._clock.after(delay_s, self._finish, attempt)

    def _count_cached_tokens(self, attempt):
        prefix = attempt.request.prefix
        for position in reversed(range(len(prefix))):
            if prefix[position] in self._cache:
                return prefixes.prefix_tokens(position)
        return 0

    def _finish(self, attempt):
        self._busy = False
        if not self.up:
            attempt.done(attempt, False)
            return
        self._store(attempt.request.prefix)
        if not attempt.cancelled:
            attempt.prefilled_s = self._clock.now_s
            attempt.decode(attempt).submit(attempt)
        self._start_next()

    def _store(self, prefix):
        stored = tuple(d for d in prefix if d not in self._cache)
        removed = []
        for digest in prefix:
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        while len(self._cache) > MAX_CACHED_DIGESTS:
            removed.append(self._cache.popitem(last=False)[0])
        if stored or removed:
            self._on_cache(self.server, stored, tuple(removed))


class DecodeEngine:
    """Runs requests in one batch with limited places and memory."""

    def __init__(self, clock, server, fleet):
        self.server = server
        self.up = True
        self.busy_place_s = 0.0
        self._clock = clock
        self._fleet = fleet
        self._waiting = []
        self._queue_numbers = itertools.count()
        self._occupied_places = 0
        self._occupied_pieces = 0
        self._running = []
        self._link_free_s = 0.0
        self._progress = 0.0
        self._progress_at_s = 0.0
        self._plan_version = 0

    @property
    def load(self):
        """Return the number of requests that wait or hold a place."""
        return len(self._waiting) + self._occupied_places

    @property
    def running(self):
        """Return the number of requests in the batch."""
        return len(self._running)

    @property
    def has_place(self):
        """Return whether a place is free that no request waits for."""
        return self._occupied_places + len(self._waiting) < self._fleet.places

    def submit(self, attempt):
        """Queue an attempt to transfer its result once a place is free."""
        if not self.up:
            attempt.done(attempt, False)
            return
        attempt.engine = self
        low_priority = not attempt.request.kind.interactive
        item = (low_priority, next(self._queue_numbers), attempt)
        heapq.heappush(self._waiting, item)
        self._clock.after(RESULT_RETENTION_S, self._expire_result, attempt)
        self._admit()

    def crash(self):
        """Fail the waiting and the running requests."""
        self.up = False
        self._plan_version += 1
        lost = [item[2] for item in (*self._waiting, *self._running)]
        self._waiting.clear()
        self._running.clear()
        for attempt in lost:
            attempt.done(attempt, False)

    def cancel(self, attempt):
        """Release the place and memory of a running attempt."""
        running = [r for r in self._running if r[2] is not attempt]
        if len(running) == len(self._running):
            return
        self._advance_batch()
        heapq.heapify(running)
        self._running = running
        self._release_place(attempt)

    def _release_place(self, attempt):
        self._occupied_places -= 1
        self._occupied_pieces -= _memory_pieces(attempt.request)
        self._admit()
        self._schedule_next_end()

    def _expire_result(self, attempt):
        if attempt.result_used or attempt.cancelled or not self.up:
            return
        self._waiting = [w for w in self._waiting if w[2] is not attempt]
        heapq.heapify(self._waiting)
        attempt.cancelled = True
        attempt.done(attempt, False)

    def _admit(self):
        while self._waiting and self._occupied_places < self._fleet.places:
            attempt = self._waiting[0][2]
            pieces = _memory_pieces(attempt.request)
            if attempt.cancelled:
                heapq.heappop(self._waiting)
                continue
            total_pieces = (
                self._fleet.memory_tokens // servers.DEFAULT_PIECE_TOKENS
            )
            if self._occupied_pieces + pieces > total_pieces:
                return
            heapq.heappop(self._waiting)
            self._transfer(attempt, pieces)

    def _transfer(self, attempt, pieces):
        source = attempt.prefill
        start_s = max(self._clock.now_s, source.link_free_s, self._link_free_s)
        if start_s > attempt.prefilled_s + RESULT_RETENTION_S:
            attempt.cancelled = True
            attempt.done(attempt, False)
            return
        attempt.result_used = True
        self._occupied_places += 1
        self._occupied_pieces += pieces
        rate = self._fleet.link_tokens_per_s
        end_s = start_s + attempt.request.prompt_tokens / rate
        source.link_free_s = end_s
        self._link_free_s = end_s
        self._clock.after(
            end_s - self._clock.now_s, self._start_decode, attempt
        )

    def _start_decode(self, attempt):
        if not self.up:
            attempt.done(attempt, False)
            return
        if attempt.cancelled:
            self._release_place(attempt)
            return
        self._advance_batch()
        step_s = self._fleet.step_time_s(self.running + 1)
        attempt.first_token_s = self._clock.now_s + step_s
        end = self._progress + attempt.request.output_tokens
        heapq.heappush(
            self._running, (end, next(self._queue_numbers), attempt)
        )
        self._schedule_next_end()

    def _advance_batch(self):
        elapsed_s = self._clock.now_s - self._progress_at_s
        self._progress_at_s = self._clock.now_s
        if self._running:
            self._progress += elapsed_s / self._fleet.step_time_s(self.running)
        self.busy_place_s += elapsed_s * self.running

    def _schedule_next_end(self):
        self._plan_version += 1
        if self._running:
            remaining_tokens = max(0.0, self._running[0][0] - self._progress)
            delay_s = remaining_tokens * self._fleet.step_time_s(self.running)
            self._clock.after(delay_s, self._end_next, self._plan_version)

    def _end_next(self, version):
        if version != self._plan_version:
            return
        self._advance_batch()
        _, _, attempt = heapq.heappop(self._running)
        attempt.done(attempt, True)
        self._release_place(attempt)


def _memory_pieces(request):
    tokens = request.prompt_tokens + request.max_output_tokens
    return decode_server.pieces_of(tokens)
