"""State of a decode server as tracked by the coordinator."""

import collections
import dataclasses

from bulrushrudder.placement import events
from bulrushrudder.placement import memory_forecast
from bulrushrudder.placement import step_model
from bulrushrudder.state import servers

# Weight of one result in the failure share, so that about ten dominate
# it; a busy server ends that many requests in three to five seconds.
FAILURE_EWMA_WEIGHT = 0.2
# Half-life of the failure share: the time in which ten requests end.
FAILURE_HALF_LIFE_S = 5.0
# A decode server processes prompts at half the rate of a prefill server.
PROMPT_READ_SLOWDOWN = 2.0


@dataclasses.dataclass(slots=True)
class DecodeServer:
    """A decode server and the requests placed on it.

    :param held_places: requests that were granted and not released.
    :param held_pieces: pieces of memory that they hold.
    :param requests_by_target_s: number of requests by between-token
        target.
    :param present: whether it accepts new requests.
    :param place_limit: requests that it can run within all targets, as
        of the last update.
    :param isolated_requests: number of requests held in isolation.
    :param exclusive: whether one of them must run alone.
    :param runs: its requests by hold, for the memory forecast.
    :param token_s: measured seconds between tokens, 0 if unknown.
    :param token_measurements: number of measurements of it.
    :param token_measured_s: monotonic seconds of the last one.
    :param slowness: factor of the pool's mean time between tokens, as of
        that measurement.
    :param read_free_s: monotonic seconds from which it may process
        another prompt.
    :param failure_share: share of its recent requests that failed, as
        of the last result.
    :param failure_updated_s: monotonic seconds of the last result.
    """

    server: servers.BackendServer
    held_places: int = 0
    held_pieces: int = 0
    requests_by_target_s: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    steps: step_model.StepModel = dataclasses.field(
        default_factory=step_model.StepModel
    )
    link_free_s: float = 0.0
    last_report_sequence: int = -1
    present: bool = True
    place_limit: int = 0
    isolated_requests: int = 0
    exclusive: bool = False
    runs: dict[events.HoldId, memory_forecast.RunningRequest] = (
        dataclasses.field(default_factory=dict)
    )
    token_s: float = 0.0
    token_measurements: int = 0
    token_measured_s: float = 0.0
    slowness: float = 1.0
    read_free_s: float = 0.0
    failure_share: float = 0.0
    failure_updated_s: float = 0.0

    @property
    def memory_pieces(self):
        """Return the pieces of its memory, 0 if unknown."""
        return self.server.memory_tokens // self.server.piece_tokens

    def pieces_of(self, tokens):
        """Return the pieces of memory for some tokens."""
        return pieces_of(tokens, self.server.piece_tokens)

    @property
    def fill_share(self):
        """Return the larger of the shares of places and memory in use."""
        fill = self.held_places / self.server.places
        if (
            self.server.allocates_memory_gradually
            and self.server.memory_tokens
        ):
            tokens = sum(
                run.prompt_tokens + run.expected_tokens / 2
                for run in self.runs.values()
            )
            return max(fill, tokens / self.server.memory_tokens)
        memory = self.memory_pieces
        return max(fill, self.held_pieces / memory) if memory else fill

    @property
    def load(self):
        """Return its fill share, weighted by how slow it is.

        A slow server holds memory and places for longer, also for the
        request that is to be placed.
        """
        fill = self.fill_share
        if self.slowness == 1.0:
            return fill
        own = 1.0 / self.server.places
        if self.held_places:
            own = fill / self.held_places
        return fill * self.slowness + own * (self.slowness - 1.0)

    def rooms(self, tokens):
        """Return how many more requests of some tokens it has room for."""
        places = max(0, self.place_limit - self.held_places)
        if self.memory_pieces == 0:
            return places
        if not self.server.allocates_memory_gradually:
            free = self.memory_pieces - self.held_pieces
            return min(places, max(0, free) // self.pieces_of(tokens))
        usable = 1.0 - memory_forecast.RESERVED_MEMORY_SHARE
        held = sum(
            run.prompt_tokens + run.expected_tokens
            for run in self.runs.values()
        )
        free = self.server.memory_tokens * usable - held
        return min(places, max(0, int(free // max(1, tokens))))

    def can_share(self, isolation):
        """Return whether a request may share the server under isolation."""
        if self.exclusive:
            return False
        match isolation:
            case events.Isolation.ALONE:
                return self.held_places == 0
            case events.Isolation.NO_OTHER_SUSPECT:
                return self.isolated_requests == 0
        return True

    def count_isolated(self, isolation, change):
        """Add or remove an isolated request.

        :param change: 1 or -1.
        """
        if isolation is events.Isolation.NONE:
            return
        self.isolated_requests += change
        if isolation is events.Isolation.ALONE:
            self.exclusive = change > 0

    def has_memory(self, request, spare, now_s):
        """Return whether memory suffices, with some spare pieces."""
        if self.server.allocates_memory_gradually:
            return self._has_peak_memory(request, spare, now_s)
        memory = self.memory_pieces
        pieces = self.pieces_of(request.prompt_tokens + request.output_tokens)
        return memory == 0 or self.held_pieces + pieces + spare <= memory

    def _has_peak_memory(self, request, spare, now_s):
        """Return whether the forecast peak of memory fits."""
        memory = self.server.memory_tokens
        if memory == 0:
            return True
        run = memory_forecast.RunningRequest(
            request.prompt_tokens,
            now_s,
            request.expected_tokens or request.output_tokens,
            request.output_tokens,
        )
        runs = [*self.runs.values(), run]
        peak = memory_forecast.peak_tokens(runs, now_s, self.token_s)
        spare_tokens = memory * memory_forecast.RESERVED_MEMORY_SHARE
        spare_tokens += spare * self.server.piece_tokens
        return peak + spare_tokens <= memory

    def failure_share_at(self, now_s):
        """Return the failure share, decayed up to a time."""
        half_lives = (now_s - self.failure_updated_s) / FAILURE_HALF_LIFE_S
        return self.failure_share * 0.5**half_lives

    def record_result(self, failed, now_s):
        """Update the failure share with the result of a request."""
        share = self.failure_share_at(now_s)
        self.failure_share = share + (failed - share) * FAILURE_EWMA_WEIGHT
        self.failure_updated_s = now_s

    def prompt_read_s(self, prompt_tokens):
        """Return the seconds that it takes to process a prompt."""
        pace = self.server.initial_speed
        rate = max(1.0, pace.prefill_tokens_per_s)
        return (
            pace.prefill_base_s + prompt_tokens * PROMPT_READ_SLOWDOWN / rate
        )

    def request_limit(self, between_tokens_s):
        """Return the number of requests that can run within all targets."""
        strictest_s = min(self.requests_by_target_s, default=between_tokens_s)
        strictest_s = min(strictest_s, between_tokens_s)
        return self.steps.request_limit(strictest_s, self.server.places)


def pieces_of(tokens, piece_tokens=servers.DEFAULT_PIECE_TOKENS):
    """Return the pieces of memory for some tokens."""
    return -(-tokens // piece_tokens)
