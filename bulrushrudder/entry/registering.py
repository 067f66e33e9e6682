"""Carries out what is decided for calls that run at most once."""

import asyncio
import contextlib

from bulrushrudder.core import outcomes
from bulrushrudder.core import ranking
from bulrushrudder.idempotency import actions
from bulrushrudder.idempotency import call as calls
from bulrushrudder.idempotency import clock
from bulrushrudder.idempotency import events
from bulrushrudder.state import intents
from bulrushrudder.state import results
from bulrushrudder.utils import tasks

CLOCK_S = 1.0
LOOK_S = 0.25
SEEN_S = 1.0
RECORD_S = 60.0
CLOCK_ROLE = 'register/clock'

_BROKEN = actions.Refuse(
    outcomes.Refusal(
        outcomes.Reason.OUTCOME_UNKNOWN,
        outcomes.Execution.UNKNOWN,
        'the call may have run; it will not be run again',
    )
)


class Registering:
    """Registers calls before they are sent, and their answers.

    :param owner: this process.
    :param view: the View of the log.
    :param observing: the Observing, which proposes commands.
    :param environment: whose calls the VM takes.
    """

    def __init__(self, owner, view, observing, environment):
        self._owner = owner
        self._view = view
        self._observing = observing
        self._environment = environment
        self._clock = clock.RegisterClock()
        self._last_dispatch = 0

    async def run(self):
        """Move the register's clock, until cancelled."""
        while True:
            await asyncio.sleep(CLOCK_S)
            clock_s = self._view.state.intents.clock_s
            command = self._clock.observe(clock_s, self._now_s())
            sessions = self._view.state.sessions.by_vm
            chosen = ranking.choose(CLOCK_ROLE, sessions)
            if command is not None and chosen == self._owner.vm:
                await self._observing.propose(command)

    def begin(self, account, call_id, fingerprint, patience_s, send):
        """Return a registered call, ready to run.

        :param account: id of the client account; empty on open routes.
        :param call_id: what the caller sent to tell its calls apart.
        :param patience_s: seconds to wait for the register, or for a
            call that runs under the same id.
        :param send: coroutine function that sends the call and returns
            an Answered or a Failed event.
        """
        register = self._view.lookups.document.register
        self._last_dispatch += 1
        plan = calls.Registration(
            intents.IntentKey(self._environment, account, call_id),
            fingerprint,
            intents.Dispatch(self._owner, self._last_dispatch),
            register.retention_s,
            register.max_entries,
            register.max_answer_bytes,
            self._now_s() + patience_s,
        )
        return RegisteredCall(
            plan, self._owner, self._view, self._observing, send
        )

    def _now_s(self):
        return asyncio.get_running_loop().time()


class RegisteredCall:
    """One call and its way through the register.

    :param plan: the Registration of the call.
    :param send: coroutine function that sends the call.
    :ivar told: future of the Deliver, Replay or Refuse action.
    """

    def __init__(self, plan, owner, view, observing, send):
        self._plan = plan
        self._owner = owner
        self._view = view
        self._observing = observing
        self._send = send
        self._decided = calls.Call(plan)
        self._loop = asyncio.get_running_loop()
        self._moved = asyncio.Event()
        self._proposals = set()
        self.told = self._loop.create_future()

    async def run(self):
        """Take the call to its end and its record into the log."""
        try:
            await self._run()
        finally:
            if not self.told.done():
                self.told.set_result(_BROKEN)

    async def _run(self):
        await self._perform(self._decided.start(self._loop.time()))
        told_s = None
        while not self._decided.ended:
            if self.told.done():
                told_s = told_s or self._loop.time()
                if self._loop.time() - told_s > RECORD_S:
                    return
            await self._wait()
            await self._handle(self._look())

    async def _wait(self):
        """Wait until a proposal has been answered, or for a while."""
        try:
            async with asyncio.timeout(LOOK_S):
                await self._moved.wait()
        except TimeoutError:
            return
        self._moved.clear()

    def _look(self):
        intent = self._view.state.intents.by_key.get(self._plan.key)
        owner_alive = False
        if intent is not None:
            owner = intent.dispatch.owner
            session = self._view.state.sessions.by_vm.get(owner.vm)
            owner_alive = session is not None and session.owner == owner
            owner_alive = owner_alive or owner == self._owner
        return events.RegisterRead(intent, owner_alive)

    async def _handle(self, event):
        await self._perform(self._decided.handle(event, self._loop.time()))

    async def _perform(self, found):
        for action in found:
            match action:
                case actions.Propose(command=command):
                    self._start(command)
                case actions.Send():
                    await self._handle(await self._sent())
                case _:
                    self.told.set_result(action)

    async def _sent(self):
        try:
            return await self._send()
        except Exception as error:
            refusal = outcomes.Refusal(
                outcomes.Reason.BACKEND_FAILED,
                outcomes.Execution.UNKNOWN,
                type(error).__name__,
            )
            return events.Failed(refusal)

    def _start(self, command):
        task = asyncio.create_task(self._propose(command))
        self._proposals.add(task)
        task.add_done_callback(self._proposals.discard)
        task.add_done_callback(tasks.log_exception)

    async def _propose(self, command):
        match await self._observing.propose(command):
            case results.Accepted(index=index):
                await self._wait_for(index)
            case results.Rejected(problem=intents.FULL):
                await self._handle(events.RegisterFull())
        self._moved.set()

    async def _wait_for(self, index):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SEEN_S):
                await self._observing.wait_for(index)
