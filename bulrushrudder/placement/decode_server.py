"""A decode server as the coordinator believes it to be."""

import collections
import dataclasses

from bulrushrudder.placement import events
from bulrushrudder.placement import memory as growing
from bulrushrudder.placement import step_model
from bulrushrudder.state import servers

# Weight of one more request in the share that its server fails, so that
# some ten decide: a server in use ends as many in three to five seconds.
JUDGED_SHARE = 0.2
# Half of what is known of failures is forgotten in the time of ten ends.
FAILING_HALF_S = 5.0
# A decode server reads prompts at half the speed of a prefill server.
ALONE_SLOWER = 2.0


@dataclasses.dataclass(slots=True)
class DecodeServer:
    """What is known of a decode server, and what is held there.

    :param held: requests that were granted and not released.
    :param pieces: pieces of memory that they hold.
    :param targets_s: how many requests have each between-token target.
    :param present: whether it gets new work.
    :param runs: its requests by hold, where memory fills as they run.
    :param token_s: seconds between tokens, where it is measured.
    :param read_free_s: monotonic seconds from which it may read one more
        prompt by itself.
    :param failing_share: part of its recent requests that it failed,
        when it was last judged.
    :param judged_s: monotonic seconds of then.
    :param suspects: requests that it holds in isolation.
    :param alone: whether one of them shares it with nobody.
    :param limit: requests that it can run within all targets, as they
        were when it was last changed.
    """

    server: servers.BackendServer
    held: int = 0
    pieces: int = 0
    targets_s: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    steps: step_model.StepModel = dataclasses.field(
        default_factory=step_model.StepModel
    )
    link_free_s: float = 0.0
    last_report: int = -1
    present: bool = True
    limit: int = 0
    suspects: int = 0
    alone: bool = False
    runs: dict[events.HoldId, growing.Run] = dataclasses.field(
        default_factory=dict
    )
    token_s: float = 0.0
    read_free_s: float = 0.0
    failing_share: float = 0.0
    judged_s: float = 0.0

    @property
    def memory(self):
        """Return the pieces of its memory; 0 where it is not known."""
        return self.server.memory_tokens // self.server.piece_tokens

    def pieces_of(self, tokens):
        """Return the pieces of memory that some tokens need."""
        return pieces_of(tokens, self.server.piece_tokens)

    @property
    def fill(self):
        """Return the larger part of places and of memory that is held."""
        fill = self.held / self.server.places
        if (
            self.server.allocates_memory_gradually
            and self.server.memory_tokens
        ):
            tokens = sum(
                run.prompt_tokens + run.expected_tokens / 2
                for run in self.runs.values()
            )
            return max(fill, tokens / self.server.memory_tokens)
        memory = self.memory
        return max(fill, self.pieces / memory) if memory else fill

    def is_open_to(self, isolation):
        """Return whether a request may share the server."""
        if self.alone:
            return False
        match isolation:
            case events.Isolation.ALONE:
                return self.held == 0
            case events.Isolation.NO_OTHER_SUSPECT:
                return self.suspects == 0
        return True

    def isolate(self, isolation, change):
        """Count a request that is held in isolation in or out."""
        if isolation is events.Isolation.NONE:
            return
        self.suspects += change
        if isolation is events.Isolation.ALONE:
            self.alone = change > 0

    def has_memory(self, asked, spare, now_s):
        """Return whether memory suffices, with some pieces to spare."""
        if self.server.allocates_memory_gradually:
            return self._has_room(asked, spare, now_s)
        memory = self.memory
        pieces = self.pieces_of(asked.prompt_tokens + asked.output_tokens)
        return memory == 0 or self.pieces + pieces + spare <= memory

    def _has_room(self, asked, spare, now_s):
        """Return whether the peak of what runs there has room."""
        memory = self.server.memory_tokens
        if memory == 0:
            return True
        run = growing.Run(
            asked.prompt_tokens,
            now_s,
            asked.expected_tokens or asked.output_tokens,
            asked.output_tokens,
        )
        runs = [*self.runs.values(), run]
        most = growing.peak(runs, now_s, self.token_s)
        spare_tokens = memory * growing.SPARE_SHARE
        spare_tokens += spare * self.server.piece_tokens
        return most + spare_tokens <= memory

    def failing(self, now_s):
        """Return the part of its requests that it is taken to fail."""
        halves = (now_s - self.judged_s) / FAILING_HALF_S
        return self.failing_share * 0.5**halves

    def judge(self, failed, now_s):
        """Take in whether it failed one more request."""
        share = self.failing(now_s)
        self.failing_share = share + (failed - share) * JUDGED_SHARE
        self.judged_s = now_s

    def read_s(self, prompt_tokens):
        """Return the seconds in which it reads a prompt by itself."""
        pace = self.server.initial_speed
        rate = max(1.0, pace.prefill_tokens_per_s)
        return pace.prefill_base_s + prompt_tokens * ALONE_SLOWER / rate

    def bound(self, between_tokens_s):
        """Return the requests that it can run within all targets."""
        strictest_s = min(self.targets_s, default=between_tokens_s)
        strictest_s = min(strictest_s, between_tokens_s)
        return self.steps.bound(strictest_s, self.server.places)


def pieces_of(tokens, piece_tokens=servers.DEFAULT_PIECE_TOKENS):
    """Return the pieces of memory that some tokens need."""
    return -(-tokens // piece_tokens)
