"""One run of a workload on simulated engines, and its results."""

import dataclasses
import random

from bulrushrudder.benchmarks.placement import bounds
from bulrushrudder.benchmarks.placement import clock
from bulrushrudder.benchmarks.placement import engines
from bulrushrudder.benchmarks.placement import faults
from bulrushrudder.benchmarks.placement import policies
from bulrushrudder.benchmarks.placement import workload
from bulrushrudder.core import ids
from bulrushrudder.placement import actions
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.state import servers

TICK_INTERVAL_S = 0.02
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 1.0
CACHE_EVENT_LAG_S = 1.0
CACHE_EVENT_LOSS_SHARE = 0.05
MESSAGE_LATENCY_S = 0.002
DRAIN_DURATION_S = 120.0
MAX_ATTEMPTS = 3
CRASH_DETECTION_S = 3.0
HANDOVER_S = 0.5
MODEL = ids.ModelId('model')
OWNER = ids.Owner(ids.VmId('vm'), 1)


@dataclasses.dataclass(slots=True)
class Outcome:
    """State and outcome of a request."""

    request: workload.Request
    attempts: int = 0
    attempt: engines.Attempt | None = None
    hold: events.HoldId | None = None
    grant: actions.Grant | None = None
    first_token_s: float | None = None
    end_s: float | None = None
    finished: bool = False

    def met_targets(self):
        """Return whether the answer was whole and met both latency targets."""
        if self.end_s is None:
            return False
        kind = self.request.kind
        waited_s = self.first_token_s - self.request.arrival_s
        between_s = self.end_s - self.first_token_s
        between_s /= max(1, self.request.output_tokens - 1)
        return (
            waited_s <= kind.first_token_s
            and between_s <= kind.between_tokens_s
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Measurements of a run.

    :param goodput: share of the requests that met their targets.
    :param bound: upper bound of the goodput.
    :param wasted: share of prefill work whose result was never used.
    :param worst_p99_s: the highest of the p99_s_by_account.
    :param p99_s_by_account: pairs of an account and the 99th percentile
        of its seconds to the first token.
    :param refused_inside_rate: requests inside their account's rate
        without an answer.
    :param occupancy: mean share in use of the decode places with which
        targets are met.
    """

    fleet: str
    policy: str
    load: float
    requests: int
    goodput: float
    bound: float
    wasted: float
    worst_p99_s: float
    p99_s_by_account: tuple[tuple[str, float], ...]
    refused_inside_rate: int
    occupancy: float


class Run:
    """Runs a mix of requests on a fleet with a policy and faults."""

    def __init__(self, fleet, mix, policy, planned_faults=()):
        self._fleet = fleet
        self._mix = mix
        self._policy = policy
        self._faults = planned_faults
        self._clock = clock.Clock()
        self._rng = random.Random(mix.seed)
        self._sequences = {}
        self._outcomes_by_call = {}
        self._last_call = 0
        self._ticking = False
        self._coordinator = coordinator.Coordinator()
        self._coordinator_up = True
        self._computed_tokens = 0.0
        self._used_tokens = 0.0
        self._servers_by_id = {}
        self._prefills_by_id = {}
        self._decodes_by_id = {}
        self._build()
        self._server_chooser = policies.ServerChooser(
            policy,
            list(self._prefills_by_id.values()),
            list(self._decodes_by_id.values()),
            mix.seed,
        )
        requests = workload.requests(fleet, mix)
        self.outcomes = [Outcome(request) for request in requests]

    def run(self):
        """Run until all requests have drained and return the Result."""
        self._handle_event(self._servers_changed())
        for outcome in self.outcomes:
            self._clock.after(outcome.request.arrival_s, self._arrive, outcome)
        self._clock.after(REPORT_INTERVAL_S, self._send_reports)
        for fault in self._faults:
            self._plan_fault(fault)
        self._clock.run(self._mix.seconds)
        busy_s = sum(
            engine.busy_place_s for engine in self._decodes_by_id.values()
        )
        self._clock.run(self._mix.seconds + DRAIN_DURATION_S)
        return self._result(busy_s)

    def _build(self):
        fleet = self._fleet
        for number in range(fleet.prefills):
            server = self._server('prefill', number)
            self._prefills_by_id[server.id] = engines.PrefillEngine(
                self._clock,
                server.id,
                fleet.prefill_tokens_per_s,
                self._cache_changed,
            )
        for number in range(fleet.decodes):
            server = self._server('decode', number)
            self._decodes_by_id[server.id] = engines.DecodeEngine(
                self._clock, server.id, fleet
            )

    def _server(self, kind, number):
        fleet = self._fleet
        server = servers.BackendServer(
            id=ids.ServerId(f'{kind}-{number:04}'),
            incarnation=1,
            kind=kind,
            host='127.0.0.1',
            port=9000,
            zone=ids.Zone(workload.ZONES[number % len(workload.ZONES)]),
            serves=(MODEL,),
            places=fleet.places,
            memory_tokens=fleet.memory_tokens,
            link_tokens_per_s=fleet.link_tokens_per_s,
            checks_fencing=True,
        )
        self._servers_by_id[server.id] = server
        return server

    def _servers_changed(self):
        return events.ServersChanged(tuple(self._servers_by_id.values()))

    def _arrive(self, outcome):
        for fault in self._faults:
            match fault:
                case faults.CallersLeave(share=share, mean_wait_s=mean_wait_s):
                    if self._rng.random() < share:
                        wait_s = self._rng.expovariate(1 / mean_wait_s)
                        self._clock.after(wait_s, self._abandon, outcome)
        self._start_attempt(outcome)

    def _abandon(self, outcome):
        if outcome.finished:
            return
        outcome.finished = True
        if outcome.attempt is not None:
            self._cancel(outcome.attempt)
        self._release(outcome)

    def _cancel(self, attempt):
        attempt.cancelled = True
        self._computed_tokens += attempt.computed_tokens
        if attempt.result_used:
            self._used_tokens += attempt.computed_tokens
            attempt.engine.cancel(attempt)

    def _start_attempt(self, outcome):
        if outcome.finished:
            return
        outcome.attempts += 1
        if isinstance(self._policy, policies.Coordinated):
            self._clock.after(MESSAGE_LATENCY_S, self._request_place, outcome)
            return
        request = outcome.request
        prefill = self._server_chooser.prefill(request)
        self._submit(outcome, prefill, self._server_chooser.decode(request))

    def _submit(self, outcome, prefill, decode):
        decode_after_prefill = self._server_chooser.decode_after_prefill
        outcome.attempt = engines.Attempt(
            request=outcome.request,
            prefill=prefill,
            decode=lambda _: (
                decode_after_prefill() if decode is None else decode
            ),
            done=lambda attempt, whole: self._attempt_done(
                outcome, attempt, whole
            ),
        )
        prefill.submit(outcome.attempt)

    def _attempt_done(self, outcome, attempt, whole):
        self._computed_tokens += attempt.computed_tokens
        if attempt.result_used:
            self._used_tokens += attempt.computed_tokens
        if outcome.attempt is not attempt or outcome.finished:
            return
        self._release(outcome)
        if whole:
            outcome.finished = True
            outcome.first_token_s = attempt.first_token_s
            outcome.end_s = self._clock.now_s
        elif outcome.attempts < MAX_ATTEMPTS:
            self._start_attempt(outcome)
        else:
            outcome.finished = True

    def _request_place(self, outcome):
        if not self._coordinator_up or outcome.finished:
            return
        request = outcome.request
        self._last_call += 1
        call = self._last_call
        self._outcomes_by_call[call] = outcome
        outcome.hold = events.HoldId(OWNER, call)
        waited_s = self._clock.now_s - request.arrival_s
        placement_request = events.PlacementRequested(
            call=call,
            hold=outcome.hold,
            account=request.account,
            weight=request.weight,
            zone=ids.Zone(request.zone),
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.max_output_tokens,
            interactive=request.kind.interactive,
            patience_s=request.kind.first_token_s - waited_s,
            first_token_s=request.kind.first_token_s - waited_s,
            between_tokens_s=request.kind.between_tokens_s,
            prefix=request.prefix,
        )
        self._handle_event(placement_request)

    def _release(self, outcome):
        if outcome.hold is None:
            return
        hold = outcome.hold
        outcome.hold = None
        outcome.grant = None
        released = events.PlaceReleased(hold)
        self._clock.after(MESSAGE_LATENCY_S, self._handle_event, released)

    def _handle_event(self, event):
        if not self._coordinator_up:
            return
        now_s = self._clock.now_s
        for action in self._coordinator.handle(event, now_s):
            self._perform(action)
        if self._coordinator.queue_length and not self._ticking:
            self._ticking = True
            self._clock.after(TICK_INTERVAL_S, self._tick)

    def _tick(self):
        self._ticking = False
        self._handle_event(events.Ticked())

    def _perform(self, action):
        match action:
            case actions.Grant(call=call):
                outcome = self._outcomes_by_call.pop(call)
                outcome.grant = action
                self._clock.after(
                    MESSAGE_LATENCY_S, self._start_granted, outcome, action
                )
            case actions.Refuse(call=call):
                outcome = self._outcomes_by_call.pop(call)
                outcome.finished = True
                outcome.hold = None

    def _start_granted(self, outcome, grant):
        if outcome.finished:
            return
        self._submit(
            outcome,
            self._prefills_by_id[grant.prefill],
            self._decodes_by_id[grant.decode],
        )

    def _cache_changed(self, server, stored, removed):
        event = events.CacheChanged(
            server, 1, self._next_sequence(server, 'cache'), stored, removed
        )
        if self._rng.random() >= CACHE_EVENT_LOSS_SHARE:
            self._clock.after(CACHE_EVENT_LAG_S, self._handle_event, event)

    def _next_sequence(self, server, stream):
        number = self._sequences.get((server, stream), 0) + 1
        self._sequences[server, stream] = number
        return number

    def _send_reports(self):
        report_lag_s = REPORT_LAG_S
        lost_share = 0.0
        for fault in self._faults:
            match fault:
                case faults.ReportsLate():
                    report_lag_s = fault.report_lag_s
                    lost_share = fault.lost_share
        for engine in (
            *self._prefills_by_id.values(),
            *self._decodes_by_id.values(),
        ):
            if engine.up and self._rng.random() >= lost_share:
                self._clock.after(
                    report_lag_s,
                    self._receive_report,
                    *self._load_report(engine),
                )
        if self._clock.now_s < self._mix.seconds + DRAIN_DURATION_S:
            self._clock.after(REPORT_INTERVAL_S, self._send_reports)

    def _load_report(self, engine):
        running = 0
        step_s = 0.0
        rate = self._fleet.prefill_tokens_per_s
        if engine.server in self._decodes_by_id:
            rate = 0.0
            running = engine.running
            step_s = self._fleet.step_time_s(running)
        event = events.LoadReported(
            server=engine.server,
            incarnation=1,
            sequence=self._next_sequence(engine.server, 'load'),
            running=running,
            step_s=step_s,
            tokens_per_s=rate,
        )
        return event, engine.load

    def _receive_report(self, event, load):
        self._server_chooser.loads_by_id[event.server] = load
        self._handle_event(event)

    def _plan_fault(self, fault):
        coordinated = isinstance(self._policy, policies.Coordinated)
        match fault:
            case faults.RunnerLost(at_s=at_s):
                self._clock.after(at_s, self._crash_runner)
            case faults.CoordinatorLost(at_s=at_s, takeover_s=takeover_s) if (
                coordinated
            ):
                self._clock.after(at_s, self._crash_coordinator)
                self._clock.after(at_s + takeover_s, self._take_over)

    def _crash_runner(self):
        engine = next(iter(self._decodes_by_id.values()))
        engine.crash()
        self._clock.after(
            CRASH_DETECTION_S, self._remove_runner, engine.server
        )

    def _remove_runner(self, server):
        self._servers_by_id.pop(server)
        self._handle_event(self._servers_changed())

    def _crash_coordinator(self):
        self._coordinator_up = False

    def _take_over(self):
        """Start a coordinator and restore the entries' allocations."""
        self._coordinator_up = True
        now_s = self._clock.now_s
        self._coordinator = coordinator.Coordinator(ready_s=now_s + HANDOVER_S)
        self._outcomes_by_call.clear()
        self._handle_event(self._servers_changed())
        granted_outcomes = [
            o for o in self.outcomes if o.grant and not o.finished
        ]
        self._handle_event(
            events.AllocationsRestored(
                tuple(map(self._allocation, granted_outcomes))
            )
        )
        for outcome in self.outcomes:
            arrived = outcome.request.arrival_s <= now_s
            if arrived and not outcome.finished and not outcome.grant:
                self._request_place(outcome)

    def _allocation(self, outcome):
        request = outcome.request
        return events.Allocation(
            outcome.hold,
            request.account,
            outcome.grant.prefill,
            outcome.grant.decode,
            request.prompt_tokens,
            request.max_output_tokens,
        )

    def _result(self, busy_s):
        fleet = self._fleet
        good_count = sum(outcome.met_targets() for outcome in self.outcomes)
        requests = [outcome.request for outcome in self.outcomes]
        p99_s_by_account = tuple(self._p99_by_account())
        failed_inside_rate = [
            o
            for o in self.outcomes
            if o.request.inside_rate and o.end_s is None
        ]
        wasted = 0.0
        if self._computed_tokens:
            wasted = 1 - self._used_tokens / self._computed_tokens
        places = fleet.decodes * fleet.max_running()
        return Result(
            fleet=fleet.name,
            policy=self._policy.name,
            load=self._mix.load,
            requests=len(requests),
            goodput=good_count / len(requests),
            bound=bounds.max_goodput(fleet, requests, self._mix.seconds),
            wasted=wasted,
            worst_p99_s=max(p99_s for _, p99_s in p99_s_by_account),
            p99_s_by_account=p99_s_by_account,
            refused_inside_rate=len(failed_inside_rate),
            occupancy=busy_s / (places * self._mix.seconds),
        )

    def _p99_by_account(self):
        waits_by_account = {name: [] for name, _ in workload.accounts()}
        for outcome in self.outcomes:
            request = outcome.request
            if outcome.first_token_s is None:
                wait_s = 60.0
            else:
                wait_s = outcome.first_token_s - request.arrival_s
            waits_by_account[request.account].append(wait_s)
        for account, waits_s in waits_by_account.items():
            waits_s.sort()
            if waits_s:
                yield account, waits_s[int(len(waits_s) * 0.99)]
