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
TOKENS = 4
STEP_S = 0.05
ON_THE_WAY_S = 0.5
NOT_RUN = outcomes.Execution.NOT_RUN


def text_of(request_id, index):
    """Return the only right token of a request at an index."""
    return f'{request_id}:{index}'


@dataclasses.dataclass(slots=True)
class Engine:
    """A fake engine; it forgets what was cancelled at once."""

    server: object
    held: set = dataclasses.field(default_factory=set)
    known: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Call:
    """One request with what its caller and its account saw."""

    request: request.Request
    step: object = None
    arrived: bool = False
    received: list = dataclasses.field(default_factory=list)
    end: object = None
    charged: int = 0
    prefills: int = 0
    ran: bool = False
    late: list = dataclasses.field(default_factory=list)

    @property
    def id(self):
        return self.request.job.request


class World:
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
        self.orders = []
        self.history = []
        self.on_the_way = []
        self.dropped = 0

    @property
    def servers_by_id(self):
        return {name: e.server for name, e in self.engines.items()}

    # Requests.

    def open(self, repeatable=True):
        number = len(self.calls) + 1
        found = job_builders.job(
            request=ids.RequestId(f'r{number}'),
            output_tokens=TOKENS,
            repeatable=repeatable,
            fingerprint=f'f{number}',
        )
        call = Call(request.Request(found, self.policy))
        self.policy.admitted()
        self.calls.append(call)
        self.perform(call, call.request.start(self.now_s))
        return call

    def handle(self, call, event):
        self.history.append(event)
        step_before = call.step
        found = call.request.handle(event, self.now_s)
        ended = call.request.ended
        if ended:
            self._leave_step(call, step_before)
        self.perform(call, found)

    def _leave_step(self, call, step):
        """The step is abandoned; an answer on its way still comes."""
        if isinstance(step, actions.AskTokens) and call.arrived:
            call.late.append(events.TokensGranted())
        ordered = isinstance(step, actions.StartPrefill | actions.StartDecode)
        if ordered and not call.arrived:
            self.on_the_way.append((self.now_s, step))
        call.step = None
        call.arrived = False

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
                    cancellations.CancelWanted(
                        self._server_then(server), attempt
                    )
                )
            case actions.Drop():
                self.dropped += 1
            case actions.ClearSuspect():
                pass
            case _:
                call.step = action
                call.arrived = False

    def _server_then(self, server):
        return self.engines[server].server

    # The oracle: what a caller may see.

    def _relay(self, call, index, text):
        assert call.end is None, 'a token after the end'
        assert index == len(call.received), 'a gap or a doubled token'
        assert text == text_of(call.id, index), "another request's token"
        call.received.append(text)

    def _complete(self, call, tokens):
        assert call.end is None, 'two ends'
        assert len(call.received) == tokens == TOKENS, 'not whole'
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
        if call.late:
            self.handle(call, call.late.pop())
            return
        match call.step:
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
        if not call.arrived:
            call.arrived = True
            call.charged += tokens
            return
        self.handle(call, events.TokensGranted())

    def _grant_place(self, call):
        place = call.step.place
        if not call.arrived:
            call.arrived = True
            self.places[place] = tuple(
                self._choose(names, call.step.excluded)
                for names in (PREFILLS, DECODES)
            )
            return
        prefill, decode = self.places[place]
        self.handle(call, events.PlaceGranted(place, prefill, decode))

    def _choose(self, names, excluded):
        free = [name for name in names if name not in excluded]
        return free[0] if free else names[0]

    def _prefill(self, call):
        attempt = call.step.attempt
        engine = self.engines[call.step.server]
        if not call.arrived:
            call.arrived = True
            call.prefills += 1
            self._take(call, engine, attempt)
            return
        if attempt not in engine.held:
            self.fail(call, outcomes.Reason.BACKEND_FAILED)
            return
        self.handle(call, events.PrefillDone(attempt, str(attempt), 6))

    def _take(self, call, engine, attempt):
        """An order reaches its engine."""
        engine.held.add(attempt)
        engine.known.add(attempt)
        call.ran = True

    def _decode(self, call):
        step = call.step
        engine = self.engines[step.server]
        if not call.arrived:
            self._transfer(call, engine)
            return
        if step.attempt not in engine.held:
            self.fail(call, outcomes.Reason.BACKEND_FAILED)
            return
        index = len(call.received)
        if index < TOKENS:
            text = text_of(call.id, index)
            self.handle(call, events.TokenArrived(step.attempt, index, text))
            return
        engine.held.discard(step.attempt)
        self.handle(call, events.DecodeDone(step.attempt, index, 'stop'))

    def _transfer(self, call, engine):
        step = call.step
        source = self.engines[step.source]
        kept = [a for a in source.held if str(a) == step.handle]
        if not kept:
            self.fail(call, outcomes.Reason.TRANSFER_FAILED)
            return
        source.held.discard(kept[0])
        self._take(call, engine, step.attempt)
        call.arrived = True
        self.handle(call, events.TransferDone(step.attempt))

    def _inspect(self, call, attempt, server):
        engine = self.engines[server]
        crashed = attempt not in engine.known
        kept = attempt in engine.held and server in DECODES
        handle = str(attempt) if kept and call.received else None
        self.handle(call, events.Inspected(attempt, crashed, handle))

    # Faults.

    def fail(self, call, reason):
        """The order's connection ends; the engine need not know."""
        match call.step:
            case actions.StartPrefill() | actions.StartDecode():
                step = call.step
                event = events.AttemptFailed(
                    step.attempt, step.server, reason, '', call.arrived
                )
                self.handle(call, event)

    def crash(self, name):
        """A server loses all that it holds and starts again."""
        engine = self.engines[name]
        broken = [c for c in self.calls if self._runs_on(c, name)]
        kind = engine.server.kind
        run = engine.server.incarnation + 1
        self.on_the_way = [
            (sent_s, step)
            for sent_s, step in self.on_the_way
            if step.server != name
        ]
        self.engines[name] = Engine(fleet.server(name, kind, incarnation=run))
        for call in broken:
            self.fail(call, outcomes.Reason.BACKEND_FAILED)

    def _runs_on(self, call, name):
        match call.step:
            case actions.StartPrefill() | actions.StartDecode():
                return call.arrived and call.step.server == name
        return False

    def crash_under(self, call):
        """The server that runs a request crashes."""
        match call.step:
            case actions.StartPrefill() | actions.StartDecode():
                self.crash(call.step.server)

    # Cancellations.

    def _track(self, event):
        found = self.tracker.handle(event, self.servers_by_id, self.now_s)
        self.orders += found

    def answer_order(self, reached=True, answered=True):
        """An order to cancel reaches its engine, or its answer us."""
        if not self.orders:
            return
        order = self.orders.pop(0)
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

    def tick(self, seconds=STEP_S):
        self.now_s += seconds
        self._arrive_late()
        self._track(cancellations.Ticked())

    def _arrive_late(self):
        """Orders of closed connections reach their engines."""
        for sent_s, step in tuple(self.on_the_way):
            if self.now_s - sent_s >= ON_THE_WAY_S:
                self.on_the_way.remove((sent_s, step))
                self.engines[step.server].held.add(step.attempt)

    # The end of a run.

    def settle(self):
        """Let everything go on without faults and check the end."""
        for call in self.calls:
            for _ in range(500):
                if call.request.ended and not call.late:
                    break
                self.advance(call)
            assert call.request.ended, f'{call.id} never ends'
        for _ in range(200):
            if not self.tracker.pending and not self.on_the_way:
                break
            self.tick(0.2)
            self.answer_order()
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


def gone(world, call):
    """The caller goes away."""
    world.handle(call, events.CallerGone())


def access_lost(cut):
    """Return a fault: the caller's key is withdrawn."""

    def apply(world, call):
        reason = outcomes.Reason.KEY_UNKNOWN
        world.handle(call, events.AccessLost(reason, '', cut))

    return apply


def failing(reason):
    """Return a fault: the attempt ends with a reason."""

    def apply(world, call):
        world.fail(call, reason)

    return apply


def crashing(world, call):
    """The server that runs the request crashes."""
    world.crash_under(call)


def lost_cancel(world, call):
    """An order to cancel is lost."""
    world.answer_order(reached=False)


def replayed(world, call):
    """The last event of the request comes once more."""
    again = (
        events.PrefillDone,
        events.TransferDone,
        events.TokenArrived,
        events.DecodeDone,
        events.Inspected,
    )
    for event in reversed(world.history):
        if isinstance(event, again):
            world.handle(call, event)
            return


def crossed(world, call):
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
        world.handle(call, event)


def skipping(world, call):
    """A token of the stream is missing."""
    match call.step:
        case actions.StartDecode(attempt=attempt) if call.arrived:
            index = len(call.received) + 1
            event = events.TokenArrived(attempt, index, 'later')
            world.handle(call, event)


def short(world, call):
    """The engine says that it is done, but tokens are missing."""
    match call.step:
        case actions.StartDecode(attempt=attempt) if call.arrived:
            index = len(call.received) + 1
            world.handle(call, events.DecodeDone(attempt, index, 'stop'))


def interrupted(world, call):
    """Place or tokens are refused."""
    if isinstance(call.step, actions.AskTokens | actions.AskPlace):
        if call.arrived:
            return
        refusal = outcomes.not_run(outcomes.Reason.NO_SERVER, '')
        world.handle(call, events.StepRefused(refusal))


FAULTS = (
    gone,
    access_lost(cut=False),
    access_lost(cut=True),
    failing(outcomes.Reason.BACKEND_FAILED),
    failing(outcomes.Reason.BACKEND_SILENT),
    failing(outcomes.Reason.BACKEND_FULL),
    failing(outcomes.Reason.TRANSFER_FAILED),
    crashing,
    lost_cancel,
    replayed,
    crossed,
    skipping,
    short,
    interrupted,
)
