"""Loads of several ranks, replayed on a coordinator in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import random

from bulrushrudder.core import ids
from bulrushrudder.placement import actions
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.state import servers as server_records
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import overload_loads as loads
from bulrushrudder.tests.builders import places

PROMPT_TOKENS = 3200
OUTPUT_TOKENS = 68
# Answers of one length would end in waves after a pool has filled.
LENGTH_SPREAD = (0.6, 1.4)
MEMORY_TOKENS = 29155
PREFILL_SERVERS = 12
DECODE_SERVERS = 33
PREFILL_BASE_S = 0.04
PREFILL_TOKENS_PER_S = 31000.0
# With it, the memory of the decode servers takes 1.25 times the usual load.
TOKEN_S = 0.0865
BETWEEN_TOKENS_S = 0.3
# Callers leave after this multiple of their target, at least after 2.4 s.
CALLER_WAIT_TARGETS = 4.0
MIN_CALLER_WAIT_S = 2.4
GRANT_TO_FIRST_TOKEN_S = 0.5
# Part of its value that a late answer keeps.
LATE_VALUE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one rank.

    :param per_s: usual number a second.
    :param target_s: seconds to the first token.
    :param value: of a timely answer.
    """

    rank: int
    per_s: float
    target_s: float
    value: float


KINDS = (
    Kind(0, 6.6, 0.8, 25.0),
    Kind(1, 16.6, 1.0, 13.0),
    Kind(2, 12.8, 2.0, 6.6),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load and the pool that takes it.

    :param order: `ranks`, `equal` for equal ranks, `none` for ranks that
        are not sent, or `arrival` for first come, first served.
    :param loss: start and duration in seconds of the loss of a quarter of
        the servers; None for no loss.
    :param own_targets: whether requests state their own targets beside
        the strictest of all.
    :param accounts: number of accounts; each sends requests of all kinds.
    :param account_per_kind: whether each account sends requests of one
        kind only.
    :param slowness: factors of the times of the servers; each zone has
        servers of all of them.
    """

    order: str = 'ranks'
    kinds: tuple[Kind, ...] = KINDS
    burst: loads.Burst = loads.Burst(8.0, 4.0, 2.0)
    loss: tuple[float, float] | None = (18.0, 6.0)
    duration_s: float = 30.0
    own_targets: bool = True
    accounts: int = 3
    account_per_kind: bool = False
    slowness: tuple[float, ...] = (1.0,)
    coordinator: type = coordinator.Coordinator


@dataclasses.dataclass(slots=True)
class Counts:
    """What became of the requests of a rank."""

    asked: int = 0
    timely: int = 0
    late: int = 0
    refused: int = 0
    left: int = 0

    @property
    def timely_share(self):
        """Return the share that was served in target."""
        return self.timely / max(1, self.asked)

    @property
    def served_share(self):
        """Return the share that was served, in target or late."""
        return (self.timely + self.late) / max(1, self.asked)


@dataclasses.dataclass(slots=True)
class Result:
    """Result of a replay.

    :ivar grants: pairs of call and decode server, in order.
    :ivar prefills_by_server: number of prefills by server.
    :ivar decodes_by_server: number of answers by decode server.
    :ivar first_token_s: seconds to the first token of each answer.
    """

    counts_by_rank: dict
    grants: list = dataclasses.field(default_factory=list)
    prefills_by_server: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    decodes_by_server: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    first_token_s: list = dataclasses.field(default_factory=list)
    refusal_waits_s: list = dataclasses.field(default_factory=list)

    def value(self, kinds=KINDS):
        """Return the value of all answers, as a part of the possible."""
        possible = earned = 0.0
        for kind in kinds:
            counts = self.counts_by_rank[kind.rank]
            possible += kind.value * counts.asked
            earned += kind.value * (counts.timely + LATE_VALUE * counts.late)
        return earned / possible


@dataclasses.dataclass(slots=True)
class _Caller:
    """A caller and its present attempt.

    :param run: number of servers that were lost while they ran it.
    :param answered: whether it got its first token.
    """

    kind: Kind
    account: str
    asked_s: float
    attempt: int = 1
    run: int = 0
    answered: bool = False

    @property
    def leaves_s(self):
        wait_s = max(
            MIN_CALLER_WAIT_S, CALLER_WAIT_TARGETS * self.kind.target_s
        )
        return self.asked_s + wait_s


def replay(load, seed=1):
    """Replay a Load and return its Result."""
    return _Replay(load, seed).run()


def pool(load):
    """Return the servers of a load, with equal announced speeds."""
    speed = server_records.InitialSpeed(
        PREFILL_BASE_S, PREFILL_TOKENS_PER_S, TOKEN_S
    )
    return [
        fleet.server(
            f'{kind}-{number}',
            kind,
            zone=ids.Zone('abc'[number % 3]),
            places=64,
            memory_tokens=MEMORY_TOKENS,
            piece_tokens=16,
            link_tokens_per_s=1220703.125,
            allocates_memory_gradually=True,
            can_prefill=True,
            initial_speed=speed,
        )
        for kind, count in (
            ('prefill', PREFILL_SERVERS),
            ('decode', DECODE_SERVERS),
        )
        for number in range(count)
    ]


class _Replay:
    """A coordinator, its pool, its callers and the time."""

    def __init__(self, load, seed):
        self._load = load
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._events = []
        self._callers_by_call = {}
        self._running_by_server = collections.defaultdict(dict)
        self._prefill_free_s = collections.defaultdict(float)
        self._pool = pool(load)
        self._slowness_by_id = {
            server.id: load.slowness[number // 3 % len(load.slowness)]
            for number, server in enumerate(self._pool)
        }
        self._result = Result({kind.rank: Counts() for kind in load.kinds})
        self._coordinator = load.coordinator(max_booked_ahead=0)
        self._change_servers(self._pool, 0.0)

    def run(self):
        """Run the replay and return its Result."""
        self._schedule_arrivals()
        if self._load.loss is not None:
            start_s, duration_s = self._load.loss
            self._at(start_s, self._lose_quarter)
            self._at(
                start_s + duration_s,
                lambda now_s: self._change_servers(self._pool, now_s),
            )
        ticks = int(self._load.duration_s / loads.TICK_S)
        for tick in range(ticks):
            self._at(
                tick * loads.TICK_S,
                lambda now_s: self._handle(events.Ticked(), now_s),
            )
        while self._events:
            now_s, _, act = heapq.heappop(self._events)
            if now_s > self._load.duration_s:
                break
            act(now_s)
        return self._result

    def _schedule_arrivals(self):
        # Callers of the last seconds would have no time for an answer.
        end_s = self._load.duration_s - 4.0
        for kind in self._load.kinds:
            now_s = 0.0
            while True:
                rate = kind.per_s * self._load.burst.factor_at(now_s)
                now_s += self._random.expovariate(rate)
                if now_s >= end_s:
                    break
                account = (
                    f'account-{self._random.randrange(self._load.accounts)}'
                )
                if self._load.account_per_kind:
                    account += f'-{kind.rank}'
                self._at(now_s, self._arrival(_Caller(kind, account, now_s)))

    def _arrival(self, caller):
        def arrive(now_s):
            self._result.counts_by_rank[caller.kind.rank].asked += 1
            self._ask(caller, now_s)

        return arrive

    def _at(self, time_s, act):
        heapq.heappush(self._events, (time_s, next(self._numbers), act))

    def _change_servers(self, servers, now_s):
        self._handle(events.ServersChanged(tuple(servers)), now_s)

    def _lose_quarter(self, now_s):
        lost = self._pool[::4]
        kept = [server for server in self._pool if server not in lost]
        self._change_servers(kept, now_s)
        for server in lost:
            running = self._running_by_server.pop(server.id, {})
            for hold, caller in running.items():
                caller.run += 1
                if caller.answered:
                    caller.asked_s = now_s
                self._handle(events.PlaceReleased(hold), now_s)
                self._ask(caller, now_s)

    def _ask(self, caller, now_s):
        patience_s = caller.leaves_s - GRANT_TO_FIRST_TOKEN_S - now_s
        if patience_s <= 0.0:
            counts = self._result.counts_by_rank[caller.kind.rank]
            counts.left += not caller.answered
            return
        call = next(self._numbers)
        self._callers_by_call[call] = caller
        target_s = min(kind.target_s for kind in self._load.kinds)
        waited_s = now_s - caller.asked_s
        own_s = None
        if self._load.own_targets:
            own_s = caller.kind.target_s - waited_s
        if self._load.order == 'arrival':
            # No request is late and all have the same patience, so that
            # the order is that of arrival; callers leave on their own.
            self._at(now_s + patience_s, self._leaving(call))
            target_s, patience_s = 1000.0, 100.0
        request = places.placement_request(
            call,
            account='all' if self._load.order == 'arrival' else caller.account,
            zone=ids.Zone(self._random.choice('abc')),
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=OUTPUT_TOKENS,
            expected_tokens=OUTPUT_TOKENS,
            patience_s=patience_s,
            first_token_s=target_s - waited_s,
            own_first_token_s=own_s,
            between_tokens_s=BETWEEN_TOKENS_S,
            interactive=False,
            accepts_late_answer=True,
            rank=self._rank_of(caller.kind),
        )
        self._handle(request, now_s)

    def _leaving(self, call):
        def leave(now_s):
            caller = self._callers_by_call.get(call)
            if caller is not None:
                counts = self._result.counts_by_rank[caller.kind.rank]
                counts.left += not caller.answered
                released = events.PlaceReleased(places.hold_id(call))
                self._handle(released, now_s)

        return leave

    def _rank_of(self, kind):
        match self._load.order:
            case 'ranks':
                return kind.rank
            case 'equal':
                return 5
        return None

    def _handle(self, event, now_s):
        for action in self._coordinator.handle(event, now_s):
            match action:
                case actions.Grant():
                    self._granted(action, now_s)
                case actions.Refuse():
                    self._refused(action, now_s)

    def _granted(self, grant, now_s):
        caller = self._callers_by_call.pop(grant.call)
        self._result.grants.append((grant.call, grant.decode))
        self._result.prefills_by_server[grant.prefill] += 1
        self._result.decodes_by_server[grant.decode] += 1
        prefill_s = (
            PREFILL_BASE_S + PROMPT_TOKENS / PREFILL_TOKENS_PER_S
        ) * self._slowness_by_id.get(grant.prefill, 2.0)
        ready_s = max(now_s, self._prefill_free_s[grant.prefill]) + prefill_s
        self._prefill_free_s[grant.prefill] = ready_s
        token_s = TOKEN_S * self._slowness_by_id[grant.decode]
        release = events.PlaceReleased(
            grant.hold, prefill_s, token_s, events.Verdict.SERVED
        )
        self._running_by_server[grant.decode][grant.hold] = caller
        run = caller.run
        first_token_s = ready_s + token_s

        def finish(end_s):
            if caller.run == run:
                self._running_by_server[grant.decode].pop(grant.hold)
                self._handle(release, end_s)

        def begin(begin_s):
            if caller.run == run:
                self._count(caller, begin_s)

        self._at(first_token_s, begin)
        tokens = OUTPUT_TOKENS * self._random.uniform(*LENGTH_SPREAD)
        self._at(ready_s + token_s * tokens, finish)

    def _count(self, caller, first_token_s):
        counts = self._result.counts_by_rank[caller.kind.rank]
        elapsed_s = first_token_s - caller.asked_s
        # The rest of an answer that was cut off does not count again.
        if caller.answered:
            return
        caller.answered = True
        self._result.first_token_s.append(elapsed_s)
        if elapsed_s <= caller.kind.target_s:
            counts.timely += 1
        else:
            counts.late += 1

    def _refused(self, refusal, now_s):
        caller = self._callers_by_call.pop(refusal.call)
        counts = self._result.counts_by_rank[caller.kind.rank]
        self._result.refusal_waits_s.append(now_s - caller.asked_s)
        if caller.attempt != 1:
            counts.refused += not caller.answered
            return
        caller.attempt = 2
        self._at(
            now_s + refusal.retry_after_s, lambda at_s: self._ask(caller, at_s)
        )
