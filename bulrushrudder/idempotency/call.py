"""State machine of an at-most-once call, from intent to record.

The intent is committed to the log before the call is sent, and only the
process and dispatch that it names may send the call. The intent of a
call that may have been sent is never withdrawn.
"""

import dataclasses

import transitions

from bulrushrudder.core import outcomes
from bulrushrudder.idempotency import actions
from bulrushrudder.idempotency import events
from bulrushrudder.state import intents

PROPOSAL_RETRY_S = 0.5
RECORD_TIMEOUT_S = 1.0
STATES = ('new', 'opening', 'sending', 'recording', 'ended')

_MACHINE = transitions.Machine(
    model=None,
    states=list(STATES),
    initial='new',
    auto_transitions=False,
    transitions=[
        ['open', 'new', 'opening'],
        ['send', 'opening', 'sending'],
        ['record', 'sending', 'recording'],
        ['give_up', 'opening', 'recording'],
        ['end', ['opening', 'recording'], 'ended'],
    ],
)


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A call to register, with the limits that apply to it.

    :param fingerprint: digest of method, path and body.
    :param dispatch: this process and its number for this call.
    :param retention_s: seconds for which the answer is stored.
    :param max_entries: maximum number of ids of the client account.
    :param max_answer_bytes: larger answers are not stored.
    :param deadline_s: monotonic seconds until which to wait for the
        register, or for a running call with the same id.
    """

    key: intents.IntentKey
    fingerprint: str
    dispatch: intents.Dispatch
    retention_s: float
    max_entries: int
    max_answer_bytes: int
    deadline_s: float


class Call:
    """State of an at-most-once call and the decisions about it.

    :param registration: the Registration.
    """

    def __init__(self, registration):
        self.state = 'new'
        self._registration = registration
        self._pending_command = None
        self._proposed_s = None
        self._proposals = 0
        self._caller_answered = False
        self._final_action = None
        self._answer_due_s = None

    @property
    def ended(self):
        """Return whether the call is in its final state."""
        return self.state == 'ended'

    def start(self, now_s):
        """Return the first actions.

        :param now_s: monotonic seconds.
        """
        registration = self._registration
        self._transition('open')
        command = intents.OpenIntent(
            registration.key,
            registration.fingerprint,
            registration.dispatch,
            registration.retention_s,
            registration.max_entries,
        )
        return self._propose(command, now_s)

    def handle(self, event, now_s):
        """Handle an event and return the actions that follow."""
        match event:
            case events.RegisterRead():
                return self._register_read(event, now_s)
            case events.RegisterFull():
                return self._register_full(now_s)
            case events.Answered(answer=answer):
                return self._answered(answer, now_s)
            case events.Failed(refusal=refusal):
                return self._failed(refusal, now_s)
        raise AssertionError(f'unknown event {event!r}')

    def _transition(self, trigger):
        _MACHINE.events[trigger].trigger(self)

    def _propose(self, command, now_s):
        self._pending_command = command
        self._proposed_s = now_s
        self._proposals += 1
        return [actions.Propose(command)]

    def _retry_proposal(self, now_s):
        if now_s - self._proposed_s < PROPOSAL_RETRY_S:
            return []
        return self._propose(self._pending_command, now_s)

    def _register_read(self, event, now_s):
        match self.state:
            case 'opening':
                return self._check_while_opening(event, now_s)
            case 'recording':
                return self._check_while_recording(event.intent, now_s)
        return []

    def _check_while_opening(self, event, now_s):
        intent = event.intent
        if intent is None or intent.phase is intents.Phase.WITHDRAWN:
            return self._wait_for_register(now_s)
        if intent.dispatch != self._registration.dispatch:
            return self._handle_duplicate(event, now_s)
        self._transition('send')
        return [actions.Send()]

    def _wait_for_register(self, now_s):
        if now_s <= self._registration.deadline_s:
            return self._retry_proposal(now_s)
        self._transition('give_up')
        self._final_action = _refuse(
            outcomes.Reason.CONTROL_UNREACHABLE,
            outcomes.Execution.UNKNOWN,
            'this call was not sent; whether an earlier call with the same '
            'id ran is unknown because the register cannot be reached',
            1.0,
        )
        result = self._close(intents.Phase.WITHDRAWN, None, now_s)
        return [*result, *self._answer_caller()]

    def _handle_duplicate(self, event, now_s):
        intent = event.intent
        if intent.fingerprint != self._registration.fingerprint:
            return self._end(
                actions.Refuse(
                    outcomes.not_run(
                        outcomes.Reason.ID_REUSED,
                        'the id was already used for a different call',
                    )
                )
            )
        running = intent.phase is intents.Phase.OPEN and event.owner_alive
        if running and now_s <= self._registration.deadline_s:
            return []
        return self._end(_outcome_for_duplicate(intent, running))

    def _end(self, action):
        self._transition('end')
        return [action]

    def _register_full(self, now_s):
        """Refuse the call, which is not sent any more.

        If the intent was proposed again, another proposal may be accepted
        all the same, so it is withdrawn.
        """
        if self.state != 'opening':
            return []
        refusal = outcomes.not_run(
            outcomes.Reason.REGISTER_FULL,
            'the client account has reached its limit of '
            f'{self._registration.max_entries} registered ids',
        )
        if self._proposals == 1:
            return self._end(actions.Refuse(refusal))
        self._transition('give_up')
        self._final_action = actions.Refuse(refusal)
        result = self._close(intents.Phase.WITHDRAWN, None, now_s)
        return [*result, *self._answer_caller()]

    def _answered(self, answer, now_s):
        if self.state != 'sending':
            raise AssertionError(
                f'answer received in state {self.state}, not sending'
            )
        self._transition('record')
        self._final_action = actions.Deliver(answer)
        fits = len(answer.body) <= self._registration.max_answer_bytes
        return self._close(
            intents.Phase.ANSWERED, answer if fits else None, now_s
        )

    def _failed(self, refusal, now_s):
        if self.state != 'sending':
            raise AssertionError(
                f'failure received in state {self.state}, not sending'
            )
        self._transition('record')
        self._final_action = actions.Refuse(refusal)
        phase = intents.Phase.UNKNOWN
        if refusal.execution is outcomes.Execution.NOT_RUN:
            phase = intents.Phase.WITHDRAWN
        return self._close(phase, None, now_s)

    def _close(self, phase, answer, now_s):
        self._answer_due_s = now_s + RECORD_TIMEOUT_S
        registration = self._registration
        command = intents.CloseIntent(
            registration.key,
            registration.fingerprint,
            registration.dispatch,
            phase,
            registration.retention_s,
            registration.max_entries,
            answer,
        )
        return self._propose(command, now_s)

    def _check_while_recording(self, intent, now_s):
        """Answer the caller once the end is committed or that times out."""
        if intent is not None and not self._is_own_and_open(intent):
            self._transition('end')
            return self._answer_caller()
        result = self._retry_proposal(now_s)
        if now_s >= self._answer_due_s:
            result += self._answer_caller()
        return result

    def _is_own_and_open(self, intent):
        is_own = intent.dispatch == self._registration.dispatch
        return is_own and intent.phase is intents.Phase.OPEN

    def _answer_caller(self):
        if self._caller_answered:
            return []
        self._caller_answered = True
        return [self._final_action]


def _outcome_for_duplicate(intent, running):
    """Return the action for a call whose id an earlier call has used."""
    match intent.phase:
        case intents.Phase.ANSWERED if intent.answer is not None:
            return actions.Replay(intent.answer)
        case intents.Phase.ANSWERED:
            return _refuse(
                outcomes.Reason.ANSWER_NOT_KEPT,
                outcomes.Execution.RAN,
                'the call ran; its answer was not stored, because it was '
                'too large or the register was full',
            )
        case intents.Phase.EXPIRED:
            return _refuse(
                outcomes.Reason.ID_TOO_OLD,
                outcomes.Execution.UNKNOWN,
                'an earlier call with this id is older than the retention '
                'period',
            )
        case intents.Phase.OPEN if running:
            return _refuse(
                outcomes.Reason.ID_RUNNING,
                outcomes.Execution.UNKNOWN,
                'a call with this id is still running',
                1.0,
            )
    return _refuse(
        outcomes.Reason.OUTCOME_UNKNOWN,
        outcomes.Execution.UNKNOWN,
        'the call may have run; it will not be run again',
    )


def _refuse(reason, execution, detail, retry_after_s=None):
    refusal = outcomes.Refusal(reason, execution, detail, retry_after_s)
    return actions.Refuse(refusal)
