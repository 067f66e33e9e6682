"""A small fleet in virtual time for requests under faults.

It plays the parts around a Request: the account's authority, the
coordinator, engines, the log and the caller. Each part does only what
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
    """Return the only right token of a request at an index."""
    return f'{request_id}:{index}'


@dataclasses.dataclass(slots=True)
class Engine:
    """A fake engine; it forgets what was cancelled at once."""

    server: object
    held: set = dataclasses.field(default_factory=set)
    known_attempts: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Call:
    """One request with what its caller and its account saw."""

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
    """The fleet, its requests and the oracle that watches them."""

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
        self.policy.record_admission()
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
        """The action is abandoned; an answer on its way still comes."""
        if isinstance(action, actions.AskTokens) and call.delivered:
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
            case actions.ReturnTokens(tokens=tokens):
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

    # The oracle: what a caller may see.

    def _relay(self, call, index, text):
        assert call.end is None, 'a token after the end'
        assert index == len(call.received), 'a gap or a doubled token'
        assert text == expected_text(call.id, index), "another request's token"
        call.received.append(text)

    def _complete(self, call, tokens):
        assert call.end is None, 'two ends'
        assert len(call.received) == tokens == OUTPUT_TOKENS, 'not whole'
        call.end = 'whole'

    def _refuse(self, call, refusal):
        assert call.end is None, 'two ends'
        call.end = refusal
        if refusal.execution is outcomes.Execution.NOT_RUN:
            assert not call.ran, 'not run is untrue'
        if not call.request.job.repeatable and call.ran:
            assert refusal.execution is outcomes.Execution.UNKNOWN

    # What goes on without a fault.

    def advance(self, call):
        """Let the next thing happen to a request."""
        if call.late_events:
            self.handle(call, call.late_events.pop())
            return
        match call.pending_action:
            case actions.AskTokens(tokens=tokens):
                self._grant_tokens(call, tokens)
            case actions.AskPlace():
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
        """An order reaches its engine."""
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
        """The order's connection ends; the engine need not know."""
        match call.pending_action:
            case actions.StartPrefill() | actions.StartDecode():
                order = call.pending_action
                event = events.AttemptFailed(
                    order.attempt, order.server, reason, '', call.delivered
                )
                self.handle(call, event)

    def crash_server(self, name):
        """A server loses all that it holds and starts again."""
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
        """The server that runs a request crashes."""
        match call.pending_action:
            case actions.StartPrefill() | actions.StartDecode():
                self.crash_server(call.pending_action.server)

    # Cancellations.

    def _track(self, event):
        found = self.tracker.handle(event, self.servers_by_id, self.now_s)
        self.cancel_orders += found

    def process_cancel_order(self, reached=True, answered=True):
        """An order to cancel reaches its engine, or its answer us."""
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
        """Orders of closed connections reach their engines."""
        for sent_s, order in tuple(self.delayed_orders):
            if self.now_s - sent_s >= DELAYED_ORDER_S:
                self.delayed_orders.remove((sent_s, order))
                self.engines[order.server].held.add(order.attempt)

    # The end of a run.

    def settle(self):
        """Let everything go on without faults and check the end."""
        for call in self.calls:
            for _ in range(500):
                if call.request.ended and not call.late_events:
                    break
                self.advance(call)
            assert call.request.ended, f'{call.id} never ends'
        for _ in range(200):
            if not self.tracker.pending and not self.delayed_orders:
                break
            self.tick(0.2)
            self.process_cancel_order()
        self.check_settled()

    def check_settled(self):
        assert not self.tracker.pending, 'cancellations never end'
        held = {n: e.held for n, e in self.engines.items() if e.held}
        assert not held, f'engines hold memory for nobody: {held}'
        assert not self.places, f'places are never released: {self.places}'
        for call in self.calls:
            self._check_call(call)

    def _check_call(self, call):
        assert call.end is not None or call.request.state == 'cancelled'
        self._check_charge(call)
        if not call.request.job.repeatable:
            assert call.prefills <= 1, 'an unrepeatable call ran twice'

    def _check_charge(self, call):
        """The account pays for what ran and for nothing else.

        A request that was cut while its first order was on its way may
        have run, so its prompt may be charged.
        """
        used = 6 + len(call.received)
        if call.received:
            assert call.charged == used, f'{call.charged} for {used}'
        elif getattr(call.end, 'execution', None) is NOT_RUN:
            assert call.charged == 0, f'{call.charged} for nothing'
        else:
            assert call.charged in (0, used), f'{call.charged} for {used}'
        if call.ran:
            assert call.charged == used, f'{call.charged} for {used}'


def caller_gone(simulation, call):
    """The caller goes away."""
    simulation.handle(call, events.CallerGone())


def access_lost(cut):
    """Return a fault: the caller's key is withdrawn."""

    def apply(simulation, call):
        reason = outcomes.Reason.KEY_UNKNOWN
        simulation.handle(call, events.AccessLost(reason, '', cut))

    return apply


def attempt_failure(reason):
    """Return a fault: the attempt ends with a reason."""

    def apply(simulation, call):
        simulation.fail_attempt(call, reason)

    return apply


def server_crash(simulation, call):
    """The server that runs the request crashes."""
    simulation.crash_server_of(call)


def lost_cancel_order(simulation, call):
    """An order to cancel is lost."""
    simulation.process_cancel_order(reached=False)


def duplicate_event(simulation, call):
    """The last event of the request comes once more."""
    again = (
        events.PrefillDone,
        events.TransferDone,
        events.TokenArrived,
        events.DecodeDone,
        events.Inspected,
    )
    for event in reversed(simulation.history):
        if isinstance(event, again):
            simulation.handle(call, event)
            return


def misrouted_events(simulation, call):
    """Answers to another request's attempt come to this one."""
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
    """A token of the stream is missing."""
    match call.pending_action:
        case actions.StartDecode(attempt=attempt) if call.delivered:
            index = len(call.received) + 1
            event = events.TokenArrived(attempt, index, 'later')
            simulation.handle(call, event)


def premature_end(simulation, call):
    """The engine says that it is done, but tokens are missing."""
    match call.pending_action:
        case actions.StartDecode(attempt=attempt) if call.delivered:
            index = len(call.received) + 1
            simulation.handle(call, events.DecodeDone(attempt, index, 'stop'))


def step_refused(simulation, call):
    """Place or tokens are refused."""
    if isinstance(call.pending_action, actions.AskTokens | actions.AskPlace):
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
