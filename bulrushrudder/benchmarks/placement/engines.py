"""Small fakes of prefill and decode engines in virtual time."""

import collections
import dataclasses
import heapq
import itertools

from bulrushrudder.placement import decode_server
from bulrushrudder.placement import prefixes
from bulrushrudder.state import servers

RESULT_LIFE_S = 0.8
CACHE_DIGESTS = 400


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try of a request.

    :param done: called with the attempt and whether it was whole.
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
    used: bool = False


class PrefillEngine:
    """Computes one prompt after the other, interactive ones first.

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
        self._numbers = itertools.count()
        self._busy = False
        self._cache = collections.OrderedDict()

    @property
    def load(self):
        """Return the prompts that wait or run."""
        return len(self._queue) + self._busy

    def submit(self, attempt):
        """Queue a prompt."""
        if not self.up:
            self._clock.after(0.0, attempt.done, attempt, False)
            return
        late = not attempt.request.kind.interactive
        item = (late, next(self._numbers), attempt)
        heapq.heappush(self._queue, item)
        self._next()

    def crash(self):
        """Lose everything."""
        self.up = False
        for _, _, attempt in self._queue:
            attempt.done(attempt, False)
        self._queue.clear()

    def _next(self):
        while not self._busy and self._queue:
            _, _, attempt = heapq.heappop(self._queue)
            if attempt.cancelled:
                continue
            self._busy = True
            tokens = max(
                1.0, attempt.request.prompt_tokens - self._hit(attempt)
            )
            self.computed_tokens += tokens
            attempt.computed_tokens = tokens
            delay_s = tokens / self._tokens_per_s
            self._clock.after(delay_s, self._finish, attempt)

    def _hit(self, attempt):
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
        self._next()

    def _store(self, prefix):
        stored = tuple(d for d in prefix if d not in self._cache)
        removed = []
        for digest in prefix:
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        while len(self._cache) > CACHE_DIGESTS:
            removed.append(self._cache.popitem(last=False)[0])
        if stored or removed:
            self._on_cache(self.server, stored, tuple(removed))


class DecodeEngine:
    """Runs requests in one batch; places and memory are bounded."""

    def __init__(self, clock, server, fleet):
        self.server = server
        self.up = True
        self.busy_place_s = 0.0
        self._clock = clock
        self._fleet = fleet
        self._waiting = []
        self._numbers = itertools.count()
        self._held = 0
        self._pieces = 0
        self._running = []
        self._link_free_s = 0.0
        self._progress = 0.0
        self._moved_s = 0.0
        self._version = 0

    @property
    def load(self):
        """Return the requests that wait or hold a place."""
        return len(self._waiting) + self._held

    @property
    def running(self):
        """Return the requests in the batch."""
        return len(self._running)

    @property
    def has_place(self):
        """Return whether a place is free and nobody waits for it."""
        return self._held + len(self._waiting) < self._fleet.places

    def submit(self, attempt):
        """Take a prompt's result over when there is a place."""
        if not self.up:
            attempt.done(attempt, False)
            return
        attempt.engine = self
        late = not attempt.request.kind.interactive
        item = (late, next(self._numbers), attempt)
        heapq.heappush(self._waiting, item)
        self._clock.after(RESULT_LIFE_S, self._expire, attempt)
        self._admit()

    def crash(self):
        """Lose everything."""
        self.up = False
        self._version += 1
        lost = [item[2] for item in (*self._waiting, *self._running)]
        self._waiting.clear()
        self._running.clear()
        for attempt in lost:
            attempt.done(attempt, False)

    def cancel(self, attempt):
        """Free what an attempt holds."""
        running = [r for r in self._running if r[2] is not attempt]
        if len(running) == len(self._running):
            return
        self._move()
        heapq.heapify(running)
        self._running = running
        self._free(attempt)

    def _free(self, attempt):
        self._held -= 1
        self._pieces -= _pieces(attempt.request)
        self._admit()
        self._plan()

    def _expire(self, attempt):
        if attempt.used or attempt.cancelled or not self.up:
            return
        self._waiting = [w for w in self._waiting if w[2] is not attempt]
        heapq.heapify(self._waiting)
        attempt.cancelled = True
        attempt.done(attempt, False)

    def _admit(self):
        while self._waiting and self._held < self._fleet.places:
            attempt = self._waiting[0][2]
            pieces = _pieces(attempt.request)
            if attempt.cancelled:
                heapq.heappop(self._waiting)
                continue
            total = self._fleet.memory_tokens // servers.DEFAULT_PIECE_TOKENS
            if self._pieces + pieces > total:
                return
            heapq.heappop(self._waiting)
            self._transfer(attempt, pieces)

    def _transfer(self, attempt, pieces):
        source = attempt.prefill
        start_s = max(self._clock.now_s, source.link_free_s, self._link_free_s)
        if start_s > attempt.prefilled_s + RESULT_LIFE_S:
            attempt.cancelled = True
            attempt.done(attempt, False)
            return
        attempt.used = True
        self._held += 1
        self._pieces += pieces
        rate = self._fleet.link_tokens_per_s
        end_s = start_s + attempt.request.prompt_tokens / rate
        source.link_free_s = end_s
        self._link_free_s = end_s
        self._clock.after(end_s - self._clock.now_s, self._start, attempt)

    def _start(self, attempt):
        if not self.up:
            attempt.done(attempt, False)
            return
        if attempt.cancelled:
            self._free(attempt)
            return
        self._move()
        step_s = self._fleet.step(self.running + 1)
        attempt.first_token_s = self._clock.now_s + step_s
        end = self._progress + attempt.request.output_tokens
        heapq.heappush(self._running, (end, next(self._numbers), attempt))
        self._plan()

    def _move(self):
        elapsed_s = self._clock.now_s - self._moved_s
        self._moved_s = self._clock.now_s
        if self._running:
            self._progress += elapsed_s / self._fleet.step(self.running)
        self.busy_place_s += elapsed_s * self.running

    def _plan(self):
        self._version += 1
        if self._running:
            left = max(0.0, self._running[0][0] - self._progress)
            delay_s = left * self._fleet.step(self.running)
            self._clock.after(delay_s, self._end, self._version)

    def _end(self, version):
        if version != self._version:
            return
        self._move()
        _, _, attempt = heapq.heappop(self._running)
        attempt.done(attempt, True)
        self._free(attempt)


def _pieces(request):
    tokens = request.prompt_tokens + request.bound_tokens
    return decode_server.pieces_of(tokens)
