"""Loads beyond what a pool can take, replayed in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import random

from bulrushrudder.placement import actions
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import places

TICK_S = 0.05
# Callers leave after 3.4 s without a first token, 0.5 s of which pass
# between the grant and the token, and come back once.
PATIENCE_S = 2.9
HOLD_S = 3.4
PLACES = 36
USUAL_PER_S = 9.0


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A time in which callers send a multiple of the usual load."""

    start_s: float
    duration_s: float
    factor: float

    def factor_at(self, now_s):
        """Return the factor at a time."""
        within = self.start_s <= now_s < self.start_s + self.duration_s
        return self.factor if within else 1.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of the callers of a replay.

    :ivar refused: number of first attempts that were refused.
    :ivar returned: number of callers that came back.
    :ivar served_after_return: number of those that got a place then.
    :ivar returns_by_second: number of callers that came back in each
        second.
    """

    refused: int = 0
    returned: int = 0
    served_after_return: int = 0
    returns_by_second: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def replay(burst, duration_s=30.0, seed=1, delay_s=None):
    """Replay a burst on a pool that is full during it.

    :param delay_s: constant delay of refused callers, instead of the one
        that they are told.
    :returns: an Outcome.
    """
    return _Replay(burst, seed, delay_s).run(duration_s)


class _Replay:
    """A coordinator with one pool, its callers and the time."""

    def __init__(self, burst, seed, delay_s):
        self._burst = burst
        self._delay_s = delay_s
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._events = []
        self._first_asked_s = {}
        self._attempts = {}
        self._outcome = Outcome()
        self._coordinator = coordinator.Coordinator(max_booked_ahead=0)
        pool = places.servers_changed(2, 4, places=PLACES // 4)
        self._coordinator.handle(pool, 0.0)

    def run(self, duration_s):
        """Run the replay and return its Outcome."""
        now_s = 0.0
        while now_s < duration_s:
            now_s += TICK_S
            rate = USUAL_PER_S * self._burst.factor_at(now_s)
            if self._random.random() < rate * TICK_S:
                self._ask(now_s, now_s, 1)
            while self._events and self._events[0][0] <= now_s:
                _, _, act = heapq.heappop(self._events)
                act(now_s)
            self._handle(events.Ticked(), now_s)
        return self._outcome

    def _at(self, time_s, act):
        heapq.heappush(self._events, (time_s, next(self._numbers), act))

    def _ask(self, now_s, first_asked_s, attempt):
        number = next(self._numbers)
        self._first_asked_s[number] = first_asked_s
        self._attempts[number] = attempt
        waited_s = now_s - first_asked_s
        request = places.placement_request(
            number,
            patience_s=PATIENCE_S,
            first_token_s=0.9 - waited_s,
            interactive=False,
            accepts_late_answer=True,
        )
        self._handle(request, now_s)

    def _handle(self, event, now_s):
        for action in self._coordinator.handle(event, now_s):
            match action:
                case actions.Grant(call=call, hold=hold):
                    self._granted(call, hold, now_s)
                case actions.Refuse(call=call):
                    self._refused(call, action.retry_after_s, now_s)

    def _granted(self, call, hold, now_s):
        if self._attempts[call] > 1:
            self._outcome.served_after_return += 1
        release = events.PlaceReleased(hold)
        self._at(
            now_s + HOLD_S * self._random.uniform(0.6, 1.4),
            lambda end_s: self._handle(release, end_s),
        )

    def _refused(self, call, delay_s, now_s):
        if self._attempts[call] > 1:
            return
        self._outcome.refused += 1
        delay_s = self._delay_s or delay_s
        first_asked_s = self._first_asked_s[call]
        self._at(
            now_s + delay_s, lambda at_s: self._return(at_s, first_asked_s)
        )

    def _return(self, now_s, first_asked_s):
        self._outcome.returned += 1
        self._outcome.returns_by_second[int(now_s)] += 1
        self._ask(now_s, first_asked_s, 2)
