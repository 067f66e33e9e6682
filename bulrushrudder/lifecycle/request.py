"""The life of one request to a model, free of I/O."""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import job as jobs
from bulrushrudder.lifecycle import retries
from bulrushrudder.lifecycle import states

MAX_EXCLUDED = 4
EXCLUSION_S = 1.0
MAX_OWN_CRASHES = 2
_NOT_INSPECTED = frozenset(
    {outcomes.Reason.BACKEND_FULL, outcomes.Reason.TRANSFER_FAILED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Holding:
    """What an attempt may hold on servers."""

    attempt: ids.AttemptId
    place: ids.RequestId
    prefill: ids.ServerId
    decode: ids.ServerId


class Request:
    """Decides what happens to one request.

    :param job: what the caller asked.
    :param policy: the RetryPolicy that the process shares.
    """

    def __init__(self, job, policy):
        self.job = job
        self.state = 'admitted'
        self._policy = policy
        self._attempts = 0
        self._runs = 0
        self._begun = False
        self._asks = 0
        self._place = None
        self._holding = None
        self._kept = None
        self._kept_source = None
        self._kept_handle = None
        self._handle = None
        self._failures = []
        self._excluded = ()
        self._failed_server = None
        self._isolation = job.isolation
        self._own_crashes = int(job.isolation is jobs.Isolation.ALONE)
        self._sent = False
        self._prompt_tokens = job.prompt_tokens
        self._charged = job.cost
        self._produced = []

    @property
    def ended(self):
        """Return whether the request has reached its end."""
        return self.state in states.ENDED

    def start(self, now_s):
        """Return the first actions.

        :param now_s: monotonic seconds.
        """
        job = self.job
        if job.account is None:
            self._go('skip_tokens')
            return self._ask_place(now_s)
        self._go('ask_tokens')
        return [actions.AskTokens(job.account, job.cost, job.patience_s)]

    def handle(self, event, now_s):
        """Take an event and return the actions that follow.

        :param now_s: monotonic seconds.
        """
        match event:
            case events.TokenArrived():
                return self._take_token(event)
            case events.TokensGranted():
                return self._tokens_granted(now_s)
            case events.StepRefused(refusal=refusal):
                return self._step_refused(refusal, now_s)
            case events.PlaceGranted():
                return self._place_granted(event)
            case events.BackOffEnded():
                return self._back_off_ended(now_s)
            case events.AccessLost():
                return self._access_lost(event)
            case events.TimeEnded():
                return self._time_ended(event)
            case events.CallerGone():
                return self._caller_gone()
        return self._handle_attempt(event, now_s)

    def _handle_attempt(self, event, now_s):
        match event:
            case events.PrefillDone():
                return self._prefilled(event)
            case events.TransferDone():
                return self._transferred(event)
            case events.DecodeDone():
                return self._decoded(event)
            case events.AttemptFailed():
                return self._attempt_failed(event, now_s)
            case events.Inspected():
                return self._inspected(event, now_s)
            case events.CrashReported():
                return self._crash_reported(event, now_s)
        raise AssertionError(f'unknown event {event!r}')

    def _go(self, trigger):
        states.move(self, trigger)

    def _is_current(self, event, *expected):
        return (
            self.state in expected
            and self._holding is not None
            and event.attempt == self._holding.attempt
        )

    # Before an attempt.

    def _tokens_granted(self, now_s):
        if self.state != 'waiting_for_tokens':
            return self._return(self.job.cost)
        self._go('grant_tokens')
        return self._ask_place(now_s)

    def _ask_place(self, now_s):
        self._asks += 1
        job = self.job
        self._place = ids.RequestId(f'{job.request}-{self._asks}')
        until_s = min(job.deadline_s, job.begin_by_s)
        patience_s = min(job.patience_s, max(0.0, until_s - now_s))
        if self._excluded:
            patience_s = min(patience_s, EXCLUSION_S)
        return [
            actions.AskPlace(
                self._place, patience_s, self._excluded, self._isolation
            )
        ]

    def _step_refused(self, refusal, now_s):
        if self.state not in ('waiting_for_tokens', 'queued'):
            return [_drop(refusal)]
        if self.state == 'queued' and self._excluded:
            # Only servers that failed before have a place.
            self._excluded = ()
            return self._ask_place(now_s)
        if self._sent:
            return self._end(refusal.reason, refusal.detail)
        return self._refuse(refusal)

    def _refuse(self, refusal):
        charged = self.state != 'waiting_for_tokens'
        found = self._free_all()
        self._go('refuse')
        returned = self._return(self.job.cost) if charged else []
        return [*found, *returned, actions.Refuse(refusal)]

    def _place_granted(self, event):
        if self.state != 'queued' or event.place != self._place:
            return [_drop(event), actions.ReleasePlace(event.place)]
        self._attempts += 1
        job = self.job
        attempt = ids.AttemptId(job.request, job.owner, self._attempts)
        self._holding = _Holding(
            attempt, event.place, event.prefill, event.decode
        )
        self._place = None
        if not event.prefill and self._kept is None:
            self._go('start_transfer')
            return [self._start_decode(ids.ServerId(''), '')]
        if self._kept is None:
            self._go('start_prefill')
            return [
                actions.StartPrefill(
                    attempt, event.prefill, tuple(self._produced)
                )
            ]
        self._go('start_transfer')
        return [self._start_decode(self._kept_source, self._kept_handle)]

    # During an attempt.

    def _start_decode(self, source, handle):
        return actions.StartDecode(
            self._holding.attempt,
            self._holding.decode,
            source,
            handle,
            tuple(self._produced),
        )

    def _prefilled(self, event):
        if not self._is_current(event, 'prefilling'):
            return [_drop(event)]
        self._go('start_transfer')
        self._sent = self._sent or self.job.prefill_runs
        if not self._produced and not self.job.charge_stays:
            self._prompt_tokens = event.prompt_tokens
        if self._exceeds_charge():
            reason = outcomes.Reason.COST_ABOVE_BURST
            return self._end(reason, 'the prompt has too many tokens')
        self._handle = event.handle
        return [
            *self._return_excess(),
            self._start_decode(self._holding.prefill, event.handle),
        ]

    def _transferred(self, event):
        if not self._is_current(event, 'transferring'):
            return [_drop(event)]
        self._go('start_decode')
        self._sent = True
        self._runs += 1
        found = self._free_kept()
        if event.head is not None and not self._begun:
            self._begun = True
            found.append(actions.Begin(event.head))
        return found

    def _take_token(self, event):
        if not self._is_current(event, 'decoding', 'streaming'):
            return [_drop(event)]
        if event.index < len(self._produced):
            return [_drop(event)]
        if event.index > len(self._produced):
            return self._fail_attempt(
                outcomes.Reason.BACKEND_FAILED, self._holding.decode
            )
        if self.state == 'decoding':
            self._go('start_stream')
        self._produced.append(event.text)
        return [actions.Relay(event.index, event.text)]

    def _decoded(self, event):
        if not self._is_current(event, 'decoding', 'streaming'):
            return [_drop(event)]
        if event.tokens != len(self._produced):
            return self._fail_attempt(
                outcomes.Reason.BACKEND_FAILED, self._holding.decode
            )
        self._go('finish')
        found = [actions.ReleasePlace(self._holding.place)]
        if self._isolation is not jobs.Isolation.NONE:
            found.append(actions.ClearSuspect(self.job.fingerprint))
        done = actions.Complete(
            self._prompt_tokens, event.tokens, event.finish_reason
        )
        return [*found, *self._return_unused(), done]

    # After a failed attempt.

    def _attempt_failed(self, event, now_s):
        if not self._is_current(event, *states.RUNNING):
            return [_drop(event)]
        self._sent = self._sent or event.sent
        if event.sent and self.state == 'transferring':
            self._runs += 1
        if event.sent and event.reason not in _NOT_INSPECTED:
            return self._fail_attempt(event.reason, event.server)
        self._note_failure(event.reason, event.server)
        if self._result_is_left(event):
            self._keep(self._holding.prefill, self._handle)
            return self._retry(now_s)
        return [*self._free_all(), *self._retry(now_s)]

    def _result_is_left(self, event):
        """Return whether another decode server may take the prefill.

        The one that was chosen could not be reached, so the result is
        where it was, for a little while.
        """
        return (
            self.state == 'transferring'
            and self._kept is None
            and bool(self._handle)
            and not self.job.prefill_runs
            and event.reason is outcomes.Reason.BACKEND_UNREACHABLE
        )

    def _keep(self, source, handle):
        self._kept = self._holding
        self._kept_source = source
        self._kept_handle = handle
        self._holding = None

    def _fail_attempt(self, reason, server):
        self._note_failure(reason, server)
        self._go('inspect')
        return [actions.Inspect(self._holding.attempt, server)]

    def _note_failure(self, reason, server):
        self._failures.append(reason)
        self._failed_server = server
        self._excluded = (*self._excluded, server)[-MAX_EXCLUDED:]

    def _inspected(self, event, now_s):
        if not self._is_current(event, 'inspecting'):
            return [_drop(event)]
        if event.crashed:
            return [*self._free_all(), *self._crashed()]
        found = self._free_kept()
        if event.handle is not None and self.job.repeatable:
            self._keep(self._holding.decode, event.handle)
        else:
            found += self._free_all()
        return [*found, *self._retry(now_s)]

    def _crashed(self):
        isolated = self._isolation is not jobs.Isolation.NONE
        if isolated:
            self._own_crashes += 1
            self._isolation = jobs.Isolation.ALONE
        else:
            self._isolation = jobs.Isolation.NO_OTHER_SUSPECT
        self._go('report')
        report = actions.ReportCrash(
            self.job.fingerprint, self._failed_server, isolated
        )
        return [report]

    def _crash_reported(self, event, now_s):
        if self.state != 'reporting':
            return [_drop(event)]
        if event.quarantined or self._own_crashes >= MAX_OWN_CRASHES:
            reason = outcomes.Reason.REQUEST_QUARANTINED
            return self._end(reason, 'the request crashes backend servers')
        return self._retry(now_s)

    def _retry(self, now_s):
        reason = self._failures[-1]
        if self._sent and not self.job.repeatable:
            return self._end(reason, 'the call may not be repeated')
        if 0 < self.job.attempts <= self._runs:
            return self._end(reason, 'the route allows no more attempts')
        decided = self._policy.decide(
            self._failures, now_s, self.job.deadline_s, self.job.jitter
        )
        match decided:
            case retries.GiveUp(reason=why):
                return self._end(why, f'given up after {reason.name.lower()}')
            case retries.Retry(delay_s=delay_s):
                self._go('back_off')
                return [actions.BackOff(delay_s, reason)]

    def _back_off_ended(self, now_s):
        if self.state != 'backing_off':
            return [_drop(events.BackOffEnded())]
        self._go('try_again')
        return self._ask_place(now_s)

    # The end.

    def _end(self, reason, detail):
        """End without a whole answer."""
        if not self._sent:
            return self._refuse(outcomes.not_run(reason, detail, 1.0))
        found = self._free_all()
        if not self.job.repeatable:
            self._go('lose')
            execution = outcomes.Execution.UNKNOWN
        else:
            self._go('fail')
            execution = outcomes.Execution.RAN
        refusal = outcomes.Refusal(reason, execution, detail)
        return [*found, *self._return_unused(), actions.Refuse(refusal)]

    def _may_have_run(self):
        """Return whether a server may run the request right now."""
        if self.state == 'prefilling':
            return self.job.prefill_runs
        return self.state in states.RUNNING

    def _access_lost(self, event):
        if self.ended:
            return []
        if self.state in states.WAITING and not self._sent:
            return self._refuse(outcomes.not_run(event.reason, event.detail))
        if not event.cut:
            return []
        self._sent = True
        return self._end(event.reason, event.detail)

    def _time_ended(self, event):
        if self.ended or (event.unless_begun and self._produced):
            return []
        self._sent = self._sent or self._may_have_run()
        reason = outcomes.Reason.DEADLINE_PASSED
        return self._end(reason, 'there was no whole answer in time')

    def _caller_gone(self):
        if self.ended:
            return []
        charged = self.state not in ('admitted', 'waiting_for_tokens')
        started = self._sent or self.state in states.RUNNING
        found = self._free_all()
        self._go('cancel')
        if not charged:
            return found
        if not started:
            return [*found, *self._return(self.job.cost)]
        return [*found, *self._return_unused()]

    def _free_all(self):
        found = self._free_kept()
        if self._place is not None:
            found.append(actions.ReleasePlace(self._place))
            self._place = None
        if self._holding is not None:
            found += _free(self._holding)
            self._holding = None
        return found

    def _free_kept(self):
        if self._kept is None:
            return []
        found = _free(self._kept)
        self._kept = None
        self._kept_source = None
        self._kept_handle = None
        self._handle = None
        return found

    def _exceeds_charge(self):
        """Return whether the counted prompt leaves no room for output."""
        most = self._prompt_tokens + self.job.output_tokens
        return self.job.account is not None and most > self._charged

    def _return_excess(self):
        """Return what was withheld before the prompt was counted."""
        most = self._prompt_tokens + self.job.output_tokens
        excess = max(0, self._charged - most)
        self._charged -= excess
        return self._return(excess)

    def _return_unused(self):
        if self.job.charge_stays:
            return []
        used = self._prompt_tokens + len(self._produced)
        return self._return(self._charged - used)

    def _return(self, tokens):
        if self.job.account is None or tokens <= 0:
            return []
        return [actions.RefundTokens(self.job.account, tokens)]


def _free(holding):
    return [
        actions.CancelAttempt(holding.attempt, holding.prefill),
        actions.CancelAttempt(holding.attempt, holding.decode),
        actions.ReleasePlace(holding.place),
    ]


def _drop(event):
    return actions.Drop(type(event).__name__)
