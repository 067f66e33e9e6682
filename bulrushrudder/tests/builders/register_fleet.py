"""Simulation of processes that register calls, in virtual time."""

import collections
import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.documents import types
from bulrushrudder.idempotency import actions
from bulrushrudder.idempotency import call
from bulrushrudder.idempotency import clock
from bulrushrudder.idempotency import events
from bulrushrudder.state import intents
from bulrushrudder.state import machine
from bulrushrudder.state import results
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import fleet

RETENTION_S = 30.0
MAX_ENTRIES = 6
MAX_ANSWER_BYTES = 8


@dataclasses.dataclass
class Caller:
    """A caller whose call a process has accepted.

    :ivar sent: 0 before the call is sent to the service, 1 when sent, 2
        while the service runs it, 3 after its end.
    :ivar reply: the action that answered the caller, or None.
    """

    process: object
    key: str
    body: str
    call: call.Call
    sent: int = 0
    reply: object = None


class Process:
    """An entry process without its I/O.

    :ivar lagging: whether its view of the log stays behind.
    """

    def __init__(self, owner):
        self.owner = owner
        self.state = machine.State()
        self.clock = clock.RegisterClock()
        self.callers = []
        self.alive = True
        self.lagging = False


class Fleet:
    """Processes, a log, a service, and the checks of what it ran.

    :ivar runs: number of times the service ran a call, by its id.
    :ivar bodies: body of the call that ran under an id, with the body of
        the answer once there is one.
    """

    def __init__(self, vms=2):
        self.now_s = 100.0
        self.state = machine.State()
        self.commands = []
        self.proposals = []
        self.runs = collections.Counter()
        self.bodies = {}
        self.started_s = {}
        self.by_vm = {}
        self.incarnation = 0
        self.last_dispatch_number = 0
        for number in range(vms):
            self.start(f'vm{number}')

    def start(self, vm):
        if vm in self.by_vm:
            self.by_vm[vm].alive = False
        self.incarnation += 1
        self.by_vm[vm] = Process(fleet.owner(vm, self.incarnation))
        self.commit(
            sessions.OpenSession(
                self.by_vm[vm].owner, ids.Zone('a'), '127.0.0.1', 1
            )
        )

    def close_session(self, vm):
        self.commit(sessions.CloseSession(self.by_vm[vm].owner))

    def commit(self, command):
        self.commands.append(command)
        return self.state.apply(len(self.commands), command)

    def call(self, vm, key, body, patience_s=2.0):
        process = self.by_vm[vm]
        if not process.alive:
            return
        self.last_dispatch_number += 1
        registration = call.Registration(
            intents.IntentKey(
                types.Environment.PRODUCTION, ids.AccountId('acme'), key
            ),
            body,
            intents.Dispatch(process.owner, self.last_dispatch_number),
            RETENTION_S,
            MAX_ENTRIES,
            MAX_ANSWER_BYTES,
            self.now_s + patience_s,
        )
        caller = Caller(process, key, body, call.Call(registration))
        process.callers.append(caller)
        self.perform(caller, caller.call.start(self.now_s))

    def perform(self, caller, emitted):
        for action in emitted:
            match action:
                case actions.Propose(command=command):
                    self.proposals.append((caller, command))
                case actions.Send():
                    caller.sent += 1
                case _:
                    self._reply(caller, action)

    def run(self, caller):
        """Let the service run a call; a second run of an id is an error."""
        self.runs[caller.key] += 1
        if self.runs[caller.key] > 1:
            raise AssertionError(f'{caller.key} ran twice')
        self.bodies[caller.key] = caller.body
        self.started_s[caller.key] = self.now_s
        caller.sent = 2

    def answer(self, caller, body):
        answer = intents.Answer(200, (), body)
        self.bodies[caller.key] = (caller.body, body)
        self._finish(caller, events.Answered(answer))

    def fail(self, caller, ran):
        """End a call without an answer.

        :param ran: whether the service may have run it.
        """
        execution = outcomes.Execution.NOT_RUN
        if ran:
            execution = outcomes.Execution.UNKNOWN
        refusal = outcomes.Refusal(
            outcomes.Reason.BACKEND_FAILED, execution, 'failed'
        )
        self._finish(caller, events.Failed(refusal))

    def _finish(self, caller, event):
        caller.sent = 3
        emitted = caller.call.handle(event, self.now_s)
        self.perform(caller, emitted)

    def deliver(self, place, lost_outcome):
        caller, command = self.proposals.pop(place)
        outcome = self.commit(command)
        alive = caller is not None and caller.process.alive
        if lost_outcome or not alive:
            return
        rejected = isinstance(outcome, results.Rejected)
        if rejected and outcome.problem == intents.FULL:
            emitted = caller.call.handle(events.RegisterFull(), self.now_s)
            self.perform(caller, emitted)

    def poll(self, process):
        """Apply the log in a process and let its calls read the register."""
        if not process.alive:
            return
        if not process.lagging:
            for index in range(process.state.index, len(self.commands)):
                process.state.apply(index + 1, self.commands[index])
        clock_s = process.state.intents.clock_s
        command = process.clock.observe(clock_s, self.now_s)
        if command is not None:
            self.proposals.append((None, command))
        for caller in process.callers:
            self._poll_call(process, caller)

    def _poll_call(self, process, caller):
        key = intents.IntentKey(
            types.Environment.PRODUCTION, ids.AccountId('acme'), caller.key
        )
        intent = process.state.intents.by_key.get(key)
        owner_alive = False
        if intent is not None:
            owner = intent.dispatch.owner
            session = process.state.sessions.by_vm.get(owner.vm)
            owner_alive = session is not None and session.owner == owner
        event = events.RegisterRead(intent, owner_alive)
        self.perform(caller, caller.call.handle(event, self.now_s))

    def _reply(self, caller, action):
        if caller.reply is not None:
            raise AssertionError(f'caller of {caller.key} was answered twice')
        caller.reply = action
        match action:
            case actions.Deliver(answer=answer):
                known = self.bodies.get(caller.key)
                assert known == (caller.body, answer.body), known
            case actions.Replay(answer=answer):
                known = self.bodies.get(caller.key)
                assert known == (caller.body, answer.body), known
            case actions.Refuse(refusal=refusal):
                self._check_refusal(caller, refusal)

    def _check_refusal(self, caller, refusal):
        if refusal.execution is outcomes.Execution.RAN:
            assert self.runs[caller.key] == 1, (
                f'{caller.key} reported as run, but did not run'
            )
        if refusal.execution is outcomes.Execution.NOT_RUN:
            ran_body = self.bodies.get(caller.key)
            ran_body = ran_body[0] if isinstance(ran_body, tuple) else ran_body
            assert ran_body != caller.body, (
                f'{caller.key} reported as not run, but ran'
            )
        if refusal.reason is outcomes.Reason.ID_TOO_OLD:
            age_s = self.now_s - self.started_s[caller.key]
            assert age_s >= RETENTION_S, (
                f'{caller.key} expired after {age_s} s, before {RETENTION_S} s'
            )

    def check(self):
        """Raise if a refused call can still run."""
        for process in self.by_vm.values():
            for caller in process.callers:
                refused = isinstance(caller.reply, actions.Refuse)
                if refused and caller.sent == 1:
                    raise AssertionError(f'refused call {caller.key} was sent')
