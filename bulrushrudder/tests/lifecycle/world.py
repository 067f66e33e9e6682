"""Simulation of a small fleet in virtual time, with faults.

It simulates everything around a Request: rate limiter, placement
coordinator, engines, log and caller. Each simulated part only does what
the other end of a real connection could do.
"""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import cancellations
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import request
from bulrushrudder.lifecycle import retries
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import jobs as job_builders

PREFILLS = ('p1', 'p2', 'p3')
DECODES = ('d1', 'd2', 'd3')
OUTPUT_TOKENS = 4
TICK_S = 0.05
DELAYED_ORDER_S = 0.5
NOT_RUN = outcomes.Execution.NOT_RUN


def expected_text(request_id, index):
    """Return the token that a request must produce at an index."""
    return f'{request_id}:{index}'


@dataclasses.dataclass(slots=True)
class Engine:
    """A fake engine that frees cancelled attempts at once.

    :param held: attempts that occupy memory.
    :param known_attempts: all attempts accepted since its start.
    """

    server: object
    held: set = dataclasses.field(default_factory=set)
    known_attempts: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Call:
    """A request and what its caller and account have seen of it.

    :param pending_action: the action whose event is awaited.
    :param delivered: whether that action has reached its receiver.
    :param received: tokens that the caller got.
    :param end: None, 'whole' or the Refusal that the caller got.
    :param charged: tokens charged to the account.
    :param late_events: events of abandoned actions, not yet delivered.
    """

    request: request.Request
    pending_action: object = None
    delivered: bool = False
    received: list = dataclasses.field(default_factory=list)
    end: object = None
    charged: int = 0
    prefills: int = 0
    ran: bool = False
    late_events: list = dataclasses.field(default_factory=list)

    @property
    def id(self):
        return self.request.job.request


class FleetSimulation:
    """A fleet, its requests and the checks on what callers see."""

    def __init__(self):
        self.now_s = 0.0
        self.engines = {}
        for name in (*PREFILLS, *DECODES):
            kind = 'prefill' if name in PREFILLS else 'decode'
            self.engines[name] = Engine(fleet.server(name, kind))
        self.tracker = cancellations.Cancellations()
        self.policy = retries.RetryPolicy()
        self.calls = []
        self.places = {}
        self.cancel_orders = []
        self.history = []
        self.delayed_orders = []
        self.dropped = 0

    @property
    def servers_by_id(self):
        return {name: e.server for name, e in self.engines.items()}

    # Requests.

    def start_request(self, repeatable=True):
        number = len(self.calls) + 1
        found = job_builders.job(
            request=ids.RequestId(f'r{number}'),
            output_tokens=OUTPUT_TOKENS,
            repeatable=repeatable,
            fingerprint=f'f{number}',
        )
        call = Call(request.Request(found, self.policy))
        self.policy.record_admission(self.now_s)
        self.calls.append(call)
        self.perform(call, call.request.start(self.now_s))
        return call

    def handle(self, call, event):
        self.history.append(event)
        action_before = call.pending_action
        found = call.request.handle(event, self.now_s)
        ended = call.request.ended
        if ended:
            self._abandon_pending_action(call, action_before)
        self.perform(call, found)

    def _abandon_pending_action(self, call, action):
        """Abandon an action; an answer in flight is still delivered."""
        if isinstance(action, actions.RequestTokens) and call.delivered:
            call.late_events.append(events.TokensGranted())
        ordered = isinstance(
            action, actions.StartPrefill | actions.StartDecode
        )
        if ordered and not call.delivered:
            self.delayed_orders.append((self.now_s, action))
        call.pending_action = None
        call.delivered = False

    def perform(self, call, found):
        for action in found:
            self._perform_one(call, action)

    def _perform_one(self, call, action):
        match action:
            case actions.Relay(index=index, text=text):
                self._relay(call, index, text)
            case actions.Complete(tokens=tokens):
                self._complete(call, tokens)
            case actions.Refuse(refusal=refusal):
                self._refuse(call, refusal)
            case actions.RefundTokens(tokens=tokens):
                call.charged -= tokens
            case actions.ReleasePlace(place=place):
                self.places.pop(place, None)
            case actions.CancelAttempt(attempt=attempt, server=server):
                self._track(
                    cancellations.CancelRequested(
                        self._server(server), attempt
                    )
                )
            case actions.DropEvent():
                self.dropped += 1
            case actions.ClearSuspect():
                pass
            case _:
                call.pending_action = action
                call.delivered = False

    def _server(self, server):
        return self.engines[server].server

    # Checks on what callers see.

    def _relay(self, call, index, text):
        assert call.end is None, 'token received after the end of the answer'
        assert index == len(call.received), (
            f'token {index} received, expected {len(call.received)}'
        )
        assert text == expected_text(call.id, index), "another request's token"
        call.received.append(text)

    def _complete(self, call, tokens):
        assert call.end is None, 'answer completed after its end'
        assert len(call.received) == tokens == OUTPUT_TOKENS, (
            'answer is incomplete'
        )
        call.end = 'whole'

    def _refuse(self, call, refusal):
        assert call.end is None, 'request refused after its end'
        call.end = refusal
        if refusal.execution is outcomes.Execution.NOT_RUN:
            assert not call.ran, 'NOT_RUN reported for a request that ran'
        if not call.request.job.repeatable and call.ran:
            assert refusal.execution is outcomes.Execution.UNKNOWN

    # Progress without faults.

    def advance(self, call):
        """Deliver the next event of a request."""
        if call.late_events:
            self.handle(call, call.late_events.pop())
            return
        match call.pending_action:
            case actions.RequestTokens(tokens=tokens):
                self._grant_tokens(call, tokens)
            case actions.RequestPlace():
                self._grant_place(call)
            case actions.StartPrefill():
                self._prefill(call)
            case actions.StartDecode():
                self._decode(call)
            case actions.Inspect(attempt=attempt, server=server):
                self._inspect(call, attempt, server)
            case actions.ReportCrash():
                self.handle(call, events.CrashReported(False))
            case actions.BackOff(delay_s=delay_s):
                self.now_s += delay_s
                self.handle(call, events.BackOffEnded())

    def _grant_tokens(self, call, tokens):
        if not call.delivered:
            call.delivered = True
            call.charged += tokens
            return
        self.handle(call, events.TokensGranted())

    def _grant_place(self, call):
        place = call.pending_action.place
        if not call.delivered:
            call.delivered = True
            self.places[place] = tuple(
                self._choose_server(names, call.pending_action.excluded)
                for names in (PREFILLS, DECODES)
            )
            return
        prefill, decode = self.places[place]
        self.handle(call, events.PlaceGranted(place, prefill, decode))

    def _choose_server(self, names, excluded):
        free = [name for name in names if name not in excluded]
        return free[0] if free else names[0]

    def _prefill(self, call):
        attempt = call.pending_action.attempt
        engine = self.engines[call.pending_action.server]
        if not call.delivered:
            call.delivered = True
            call.prefills += 1
            self._accept_order(call, engine, attempt)
            return
        if attempt not in engine.held:
            self.fail_attempt(call, outcomes.Reason.BACKEND_FAILED)
            return
        self.handle(call, events.PrefillDone(attempt, str(attempt), 6))

    def _accept_order(self, call, engine, attempt):
        """Record that an order has reached its engine."""
        engine.held.add(attempt)
        engine.known_attempts.add(attempt)
        call.ran = True

    def _decode(self, call):
        order = call.pending_action
        engine = self.engines[order.server]
        if not call.delivered:
            self._transfer(call, engine)
            return
        if order.attempt not in engine.held:
            self.fail_attempt(call, outcomes.Reason.BACKEND_FAILED)
            return
        index = len(call.received)
        if index < OUTPUT_TOKENS:
            text = expected_text(call.id, index)
            self.handle(call, events.TokenArrived(order.attempt, index, text))
            return
        engine.held.discard(order.attempt)
        self.handle(call, events.DecodeDone(order.attempt, index, 'stop'))

    def _transfer(self, call, engine):
        order = call.pending_action
        source = self.engines[order.source]
        matching = [a for a in source.held if str(a) == order.handle]
        if not matching:
            self.fail_attempt(call, outcomes.Reason.TRANSFER_FAILED)
            return
        source.held.discard(matching[0])
        self._accept_order(call, engine, order.attempt)
        call.delivered = True
        self.handle(call, events.TransferDone(order.attempt))

    def _inspect(self, call, attempt, server):
        engine = self.engines[server]
        crashed = attempt not in engine.known_attempts
        holds_kv_cache = attempt in engine.held and server in DECODES
        handle = str(attempt) if holds_kv_cache and call.received else None
        self.handle(call, events.Inspected(attempt, crashed, handle))

    # Faults.

    def fail_attempt(self, call, reason):
        """Fail the order of a request; its engine does not notice."""
        match call.pending_action:
            case actions.StartPrefill() | actions.StartDecode():
                order = call.pending_action
                event = events.AttemptFailed(
                    order.attempt, order.server, reason, '', call.delivered
                )
                self.handle(call, event)

    def crash_server(self, name):
        """Restart a server, which loses all its state."""
        engine = self.engines[name]
        broken = [c for c in self.calls if self._runs_on(c, name)]
        kind = engine.server.kind
        run = engine.server.incarnation + 1
        self.delayed_orders = [
            (sent_s, order)
            for sent_s, order in self.delayed_orders
            if order.server != name
        ]
        self.engines[name] = Engine(fleet.server(name, kind, incarnation=run))
        for call in broken:
            self.fail_attempt(call, outcomes.Reason.BACKEND_FAILED)

    def _runs_on(self, call, name):
        match call.pending_action:
            case actions.StartPrefill() | actions.StartDecode():
                return call.delivered and call.pending_action.server == name
        return False

    def crash_server_of(self, call):
        """Crash the server that runs a request."""
        match call.pending_action:
            case actions.StartPrefill() | actions.StartDecode():
                self.crash_server(call.pending_action.server)

    # Cancellations.

    def _track(self, event):
        found = self.tracker.handle(event, self.servers_by_id, self.now_s)
        self.cancel_orders += found

    def process_cancel_order(self, reached=True, answered=True):
        """Process the oldest order to cancel.

        :param reached: whether the order reaches its engine.
        :param answered: whether the answer of the engine arrives.
        """
        if not self.cancel_orders:
            return
        order = self.cancel_orders.pop(0)
        engine = self.engines[order.server.id]
        same_run = engine.server.incarnation == order.server.incarnation
        held = set()
        if reached and same_run:
            held = engine.held & set(order.targets)
            engine.held -= held
        if reached and answered:
            event = cancellations.CancelConfirmed(
                order.server.id, frozenset(held)
            )
        else:
            event = cancellations.CancelFailed(order.server.id)
        self._track(event)

    def tick(self, seconds=TICK_S):
        self.now_s += seconds
        self._deliver_delayed_orders()
        self._track(cancellations.Ticked())

    def _deliver_delayed_orders(self):
        """Deliver orders whose connections were closed meanwhile."""
        for sent_s, order in tuple(self.delayed_orders):
            if self.now_s - sent_s >= DELAYED_ORDER_S:
                self.delayed_orders.remove((sent_s, order))
                self.engines[order.server].held.add(order.attempt)

    # End of a run.

    def settle(self):
        """Run all requests to their end without faults and check it."""
        for call in self.calls:
            for _ in range(500):
                if call.request.ended and not call.late_events:
                    break
                self.advance(call)
            assert call.request.ended, (
                f'request {call.id} has not ended after 500 events'
            )
        for _ in range(200):
            if not self.tracker.pending and not self.delayed_orders:
                break
            self.tick(0.2)
            self.process_cancel_order()
        self.check_settled()

    def check_settled(self):
        assert not self.tracker.pending, (
            f'{self.tracker.pending} cancellations are unconfirmed'
        )
        held = {n: e.held for n, e in self.engines.items() if e.held}
        assert not held, f'engines hold ended attempts: {held}'
        assert not self.places, f'places are not released: {self.places}'
        for call in self.calls:
            self._check_call(call)

    def _check_call(self, call):
        assert call.end is not None or call.request.state == 'cancelled'
        self._check_charge(call)
        if not call.request.job.repeatable:
            assert call.prefills <= 1, (
                'a call that is not repeatable ran twice'
            )

    def _check_charge(self, call):
        """Check that the account is charged for exactly what ran.

        A request that was aborted while its first order was in flight
        may have run, so its prompt may be charged.
        """
        used = 6 + len(call.received)
        if call.received:
            assert call.charged == used, f'charged {call.charged}, used {used}'
        elif getattr(call.end, 'execution', None) is NOT_RUN:
            assert call.charged == 0, f'charged {call.charged}, not run'
        else:
            assert call.charged in (0, used), (
                f'charged {call.charged}, used {used}'
            )
        if call.ran:
            assert call.charged == used, f'charged {call.charged}, used {used}'


def caller_gone(simulation, call):
    """Fault: the caller disconnects."""
    simulation.handle(call, events.CallerGone())


def access_lost(cut):
    """Return a fault: the API key of the caller is withdrawn.

    :param cut: whether running requests are aborted.
    """

    def apply(simulation, call):
        reason = outcomes.Reason.KEY_UNKNOWN
        simulation.handle(call, events.AccessLost(reason, '', cut))

    return apply


def attempt_failure(reason):
    """Return a fault: the attempt fails with a reason."""

    def apply(simulation, call):
        simulation.fail_attempt(call, reason)

    return apply


def server_crash(simulation, call):
    """Fault: the server that runs the request crashes."""
    simulation.crash_server_of(call)


def lost_cancel_order(simulation, call):
    """Fault: an order to cancel is lost."""
    simulation.process_cancel_order(reached=False)


def duplicate_event(simulation, call):
    """Fault: the last event of the attempt is delivered twice."""
    attempt_event_types = (
        events.PrefillDone,
        events.TransferDone,
        events.TokenArrived,
        events.DecodeDone,
        events.Inspected,
    )
    for event in reversed(simulation.history):
        if isinstance(event, attempt_event_types):
            simulation.handle(call, event)
            return


def misrouted_events(simulation, call):
    """Fault: events of another request's attempt are delivered."""
    job = call.request.job
    other = ids.AttemptId(ids.RequestId('other'), job.owner, 1)
    index = len(call.received)
    for event in (
        events.PrefillDone(other, 'other', 9),
        events.TransferDone(other),
        events.TokenArrived(other, index, 'other'),
        events.DecodeDone(other, index, 'stop'),
        events.Inspected(other, False, 'other'),
    ):
        simulation.handle(call, event)


def missing_token(simulation, call):
    """Fault: a token of the stream is missing."""
    match call.pending_action:
        case actions.StartDecode(attempt=attempt) if call.delivered:
            index = len(call.received) + 1
            event = events.TokenArrived(attempt, index, 'later')
            simulation.handle(call, event)


def premature_end(simulation, call):
    """Fault: the engine reports its end, but a token is missing."""
    match call.pending_action:
        case actions.StartDecode(attempt=attempt) if call.delivered:
            index = len(call.received) + 1
            simulation.handle(call, events.DecodeDone(attempt, index, 'stop'))


def step_refused(simulation, call):
    """Fault: the place or the tokens are refused."""
    if isinstance(
        call.pending_action, actions.RequestTokens | actions.RequestPlace
    ):
        if call.delivered:
            return
        refusal = outcomes.not_run(outcomes.Reason.NO_SERVER, '')
        simulation.handle(call, events.StepRefused(refusal))


FAULTS = (
    caller_gone,
    access_lost(cut=False),
    access_lost(cut=True),
    attempt_failure(outcomes.Reason.BACKEND_FAILED),
    attempt_failure(outcomes.Reason.BACKEND_SILENT),
    attempt_failure(outcomes.Reason.BACKEND_FULL),
    attempt_failure(outcomes.Reason.TRANSFER_FAILED),
    server_crash,
    lost_cancel_order,
    duplicate_event,
    misrouted_events,
    missing_token,
    premature_end,
    step_refused,
)
