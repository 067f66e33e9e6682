"""Registers calls that run at most once, and their answers.

The decisions are those of idempotency.call; this module carries them out.
"""

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

CLOCK_INTERVAL_S = 1.0
REGISTER_POLL_S = 0.25
VIEW_WAIT_TIMEOUT_S = 1.0
RECORD_TIMEOUT_S = 60.0
CLOCK_ROLE = 'register/clock'

_OUTCOME_UNKNOWN = actions.Refuse(
    outcomes.Refusal(
        outcomes.Reason.OUTCOME_UNKNOWN,
        outcomes.Execution.UNKNOWN,
        'the call may have run; it will not be run again',
    )
)


class CallRegistrar:
    """Creates the registered calls of this process.

    It also advances the register's clock if this VM is chosen for it.

    :param owner: the Owner that identifies this process.
    :param view: the View of the log.
    :param control_client: the ControlClient, which proposes commands.
    :param environment: the environment whose calls the VM serves.
    """

    def __init__(self, owner, view, control_client, environment):
        self._owner = owner
        self._view = view
        self._control_client = control_client
        self._environment = environment
        self._clock = clock.RegisterClock()
        self._last_dispatch = 0

    async def run(self):
        """Advance the register's clock until cancelled."""
        while True:
            await asyncio.sleep(CLOCK_INTERVAL_S)
            clock_s = self._view.state.intents.clock_s
            command = self._clock.observe(clock_s, self._now_s())
            sessions = self._view.state.sessions.by_vm
            chosen = ranking.choose(CLOCK_ROLE, sessions)
            if command is not None and chosen == self._owner.vm:
                await self._control_client.propose(command)

    def create_call(self, account, call_id, fingerprint, patience_s, send):
        """Return a RegisteredCall that is ready to run.

        :param account: id of the client account; empty on open routes.
        :param call_id: id of the call that the caller chose.
        :param fingerprint: digest of the call; a call with another digest
            under the same id is refused.
        :param patience_s: seconds to wait for the register, or for a
            call in flight under the same id.
        :param send: coroutine function that sends the call and returns
            an Answered or a Failed event.
        """
        register = self._view.lookups.document.register
        self._last_dispatch += 1
        registration = calls.Registration(
            intents.IntentKey(self._environment, account, call_id),
            fingerprint,
            intents.Dispatch(self._owner, self._last_dispatch),
            register.retention_s,
            register.max_entries,
            register.max_answer_bytes,
            self._now_s() + patience_s,
        )
        return RegisteredCall(
            registration, self._owner, self._view, self._control_client, send
        )

    def _now_s(self):
        return asyncio.get_running_loop().time()


class RegisteredCall:
    """A call that is recorded in the register before it is sent.

    :param registration: the Registration of the call.
    :param owner: the Owner that identifies this process.
    :param view: the View of the log.
    :param control_client: the ControlClient, which proposes commands.
    :param send: coroutine function that sends the call.
    :ivar outcome: future of the Deliver, Replay or Refuse action.
    """

    def __init__(self, registration, owner, view, control_client, send):
        self._registration = registration
        self._owner = owner
        self._view = view
        self._control_client = control_client
        self._send = send
        self._call = calls.Call(registration)
        self._loop = asyncio.get_running_loop()
        self._proposal_answered = asyncio.Event()
        self._proposal_tasks = set()
        self.outcome = self._loop.create_future()

    async def run(self):
        """Run the call and record its end in the register.

        The outcome is set in any case. Recording continues for at most
        RECORD_TIMEOUT_S after that.
        """
        try:
            await self._run()
        finally:
            if not self.outcome.done():
                self.outcome.set_result(_OUTCOME_UNKNOWN)

    async def _run(self):
        await self._perform(self._call.start(self._loop.time()))
        resolved_s = None
        while not self._call.ended:
            if self.outcome.done():
                resolved_s = resolved_s or self._loop.time()
                if self._loop.time() - resolved_s > RECORD_TIMEOUT_S:
                    return
            await self._wait_for_proposal()
            await self._handle(self._read_register())

    async def _wait_for_proposal(self):
        """Wait until a proposal is answered, at most one poll interval."""
        try:
            async with asyncio.timeout(REGISTER_POLL_S):
                await self._proposal_answered.wait()
        except TimeoutError:
            return
        self._proposal_answered.clear()

    def _read_register(self):
        intent = self._view.state.intents.by_key.get(self._registration.key)
        owner_alive = False
        if intent is not None:
            owner = intent.dispatch.owner
            session = self._view.state.sessions.by_vm.get(owner.vm)
            owner_alive = session is not None and session.owner == owner
            owner_alive = owner_alive or owner == self._owner
        return events.RegisterRead(intent, owner_alive)

    async def _handle(self, event):
        await self._perform(self._call.handle(event, self._loop.time()))

    async def _perform(self, next_actions):
        for action in next_actions:
            match action:
                case actions.Propose(command=command):
                    self._spawn_proposal(command)
                case actions.Send():
                    await self._handle(await self._send_call())
                case _:
                    self.outcome.set_result(action)

    async def _send_call(self):
        try:
            return await self._send()
        except Exception as error:
            refusal = outcomes.Refusal(
                outcomes.Reason.BACKEND_FAILED,
                outcomes.Execution.UNKNOWN,
                type(error).__name__,
            )
            return events.Failed(refusal)

    def _spawn_proposal(self, command):
        task = asyncio.create_task(self._propose(command))
        self._proposal_tasks.add(task)
        task.add_done_callback(self._proposal_tasks.discard)
        task.add_done_callback(tasks.log_exception)

    async def _propose(self, command):
        match await self._control_client.propose(command):
            case results.Accepted(index=index):
                await self._wait_for_view(index)
            case results.Rejected(problem=intents.FULL):
                await self._handle(events.RegisterFull())
        self._proposal_answered.set()

    async def _wait_for_view(self, index):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(VIEW_WAIT_TIMEOUT_S):
                await self._control_client.wait_for_index(index)
