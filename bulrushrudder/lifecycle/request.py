"""The life of one request to a model, free of I/O."""

import dataclasses

import transitions

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events

STATES = (
    'admitted',
    'waiting_for_tokens',
    'queued',
    'prefilling',
    'decoding',
    'done',
    'refused',
    'failed',
    'cancelled',
)
ENDED = frozenset({'done', 'refused', 'failed', 'cancelled'})
_LIVE = [state for state in STATES if state not in ENDED]

_MACHINE = transitions.Machine(
    model=None,
    states=list(STATES),
    initial='admitted',
    auto_transitions=False,
    transitions=[
        ['ask_tokens', 'admitted', 'waiting_for_tokens'],
        ['skip_tokens', 'admitted', 'queued'],
        ['grant_tokens', 'waiting_for_tokens', 'queued'],
        ['grant_place', 'queued', 'prefilling'],
        ['finish_prefill', 'prefilling', 'decoding'],
        ['finish_decode', 'decoding', 'done'],
        ['refuse', ['admitted', 'waiting_for_tokens', 'queued'], 'refused'],
        ['fail', _LIVE, 'failed'],
        ['cancel', _LIVE, 'cancelled'],
    ],
)


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """What a caller asked of a model.

    :param account: the client account; None on an open route.
    :param cost: tokens charged at admission.
    :param output_tokens: the bound on output.
    :param patience_s: seconds to wait for tokens and for servers.
    """

    request: ids.RequestId
    owner: ids.Owner
    account: ids.AccountId | None
    model: ids.ModelId
    prompt: str
    prompt_tokens: int
    output_tokens: int
    cost: int
    interactive: bool
    patience_s: float


class Request:
    """Decides what happens to one request.

    :param job: what the caller asked.
    """

    def __init__(self, job):
        self.job = job
        self.state = 'admitted'
        self._attempts = 0
        self._attempt = None
        self._prefill = None
        self._decode = None
        self._prompt_tokens = job.prompt_tokens
        self._produced = []

    @property
    def ended(self):
        """Return whether the request has reached its end."""
        return self.state in ENDED

    def start(self):
        """Return the first actions."""
        job = self.job
        if job.account is None:
            self._go('skip_tokens')
            return [actions.AskPlace(job.patience_s)]
        self._go('ask_tokens')
        return [actions.AskTokens(job.account, job.cost, job.patience_s)]

    def handle(self, event):
        """Take an event and return the actions that follow."""
        if self.ended:
            return []
        match event:
            case events.TokenArrived():
                return self._take_token(event)
            case events.TokensGranted():
                self._go('grant_tokens')
                return [actions.AskPlace(self.job.patience_s)]
            case events.StepRefused(refusal=refusal):
                return self._refuse(refusal)
            case events.PlaceGranted(prefill=prefill, decode=decode):
                return self._begin(prefill, decode)
            case events.PrefillDone():
                return self._prefilled(event)
            case events.DecodeDone():
                return self._decoded(event)
            case events.AttemptFailed():
                return self._attempt_failed(event)
            case events.CallerGone():
                return self._caller_gone()
        raise AssertionError(f'unknown event {event!r}')

    def _go(self, trigger):
        _MACHINE.events[trigger].trigger(self)

    def _refuse(self, refusal):
        waited_for_place = self.state == 'queued'
        self._go('refuse')
        found = self._return_all() if waited_for_place else []
        return [*found, actions.Refuse(refusal)]

    def _begin(self, prefill, decode):
        self._go('grant_place')
        self._prefill = prefill
        self._decode = decode
        self._attempts += 1
        job = self.job
        self._attempt = ids.AttemptId(job.request, job.owner, self._attempts)
        return [actions.StartPrefill(self._attempt, prefill)]

    def _prefilled(self, event):
        if event.attempt != self._attempt or self.state != 'prefilling':
            return []
        self._go('finish_prefill')
        self._prompt_tokens = event.prompt_tokens
        return [
            actions.StartDecode(
                self._attempt,
                self._decode,
                self._prefill,
                event.handle,
                tuple(self._produced),
            )
        ]

    def _take_token(self, event):
        if event.attempt != self._attempt or self.state != 'decoding':
            return []
        if event.index != len(self._produced):
            return []
        self._produced.append(event.text)
        return [actions.Relay(event.index, event.text)]

    def _decoded(self, event):
        if event.attempt != self._attempt or self.state != 'decoding':
            return []
        if event.tokens != len(self._produced):
            return self._fail(outcomes.Reason.BACKEND_FAILED, 'short answer')
        self._go('finish_decode')
        done = actions.Complete(
            self._prompt_tokens, event.tokens, event.finish_reason
        )
        return [actions.ReleasePlace(), *self._return_unused(), done]

    def _attempt_failed(self, event):
        if event.attempt != self._attempt:
            return []
        return self._fail(event.reason, event.detail)

    def _fail(self, reason, detail):
        self._go('fail')
        refusal = outcomes.Refusal(reason, outcomes.Execution.RAN, detail)
        return [
            *self._cancel_attempt(),
            *self._return_unused(),
            actions.Refuse(refusal),
        ]

    def _caller_gone(self):
        before = self.state
        self._go('cancel')
        if before in ('admitted', 'waiting_for_tokens'):
            return []
        if before == 'queued':
            return self._return_all()
        return [*self._cancel_attempt(), *self._return_unused()]

    def _cancel_attempt(self):
        return [
            actions.CancelAttempt(self._attempt, self._prefill),
            actions.CancelAttempt(self._attempt, self._decode),
            actions.ReleasePlace(),
        ]

    def _return_all(self):
        return self._return(self.job.cost)

    def _return_unused(self):
        used = self._prompt_tokens + len(self._produced)
        return self._return(self.job.cost - used)

    def _return(self, tokens):
        if self.job.account is None or tokens <= 0:
            return []
        return [actions.ReturnTokens(self.job.account, tokens)]
