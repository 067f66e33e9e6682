"""Decides the lifecycle of a request to a model; performs no I/O.

A Request takes events and returns the actions that follow from them.
"""

import dataclasses
import math

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import arrivals
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import job as jobs
from bulrushrudder.lifecycle import output
from bulrushrudder.lifecycle import output_progress
from bulrushrudder.lifecycle import retries
from bulrushrudder.lifecycle import states
from bulrushrudder.lifecycle import suspicion

MAX_EXCLUDED_SERVERS = 4
# Wait for servers on which the request has not failed; after it, servers
# on which it failed are allowed again.
EXCLUSION_PATIENCE_S = 1.0
MAX_OWN_CRASHES = 2
# Time for a coordinator to learn that a server is cold.
HELD_BACK_DELAY_S = 0.05
_NOT_INSPECTED = frozenset(
    {outcomes.Reason.BACKEND_FULL, outcomes.Reason.TRANSFER_FAILED}
)
# After these, a decode server has not fetched the KV cache.
_LEAVES_PREFILL = frozenset(
    {outcomes.Reason.BACKEND_UNREACHABLE, outcomes.Reason.BACKEND_FULL}
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Allocation:
    """The place and the servers on which an attempt may hold resources."""

    attempt: ids.AttemptId
    place: ids.RequestId
    prefill: ids.ServerId
    decode: ids.ServerId


class Request:
    """State of a request and the decisions about it.

    :param job: the Job.
    :param policy: the RetryPolicy, shared by all requests of a process.
    """

    def __init__(self, job, policy):
        self.job = job
        self.state = 'admitted'
        self._policy = policy
        self._attempts = 0
        self._runs = 0
        self._arrivals = arrivals.Arrivals()
        self._answer_begun = False
        self._place_requests = 0
        self._place = None
        self._allocation = None
        # An earlier attempt whose KV cache the next one fetches.
        self._retained = None
        self._retained_source = None
        self._retained_handle = None
        self._prefill_handle = None
        self._failures = []
        self._excluded = ()
        self._failed_server = None
        self._isolation = job.isolation
        self._own_crashes = int(job.isolation is jobs.Isolation.ALONE)
        # Whether a server may have run any part of the request.
        self._sent = False
        # Whether a server certainly ran a part of it.
        self._has_run = False
        self._prompt_tokens = job.prompt_tokens
        self._charged = job.cost
        self._output = output.Output(job.output_tokens)
        self._last_event_s = 0.0
        # Versions of the software that began the stream, and of the decode
        # server of the current attempt.
        self._stream_software = job.software
        self._decode_software = ''
        self._progress = output_progress.OutputProgress()

    @property
    def ended(self):
        """Return whether the request is in a final state."""
        return self.state in states.ENDED

    def start(self, now_s):
        """Return the first actions.

        :param now_s: monotonic seconds.
        """
        job = self.job
        if job.account is None:
            self._transition('skip_tokens')
            return self._request_place(now_s)
        self._transition('ask_tokens')
        return [actions.RequestTokens(job.account, job.cost, job.patience_s)]

    def handle(self, event, now_s):
        """Handle an event and return the actions that follow.

        :param now_s: monotonic seconds.
        """
        match event:
            case events.TokenArrived():
                return self._token_arrived(event, now_s)
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
            case events.Quarantined():
                return self._quarantined(event)
        raise AssertionError(f'unknown event {event!r}')

    def _transition(self, trigger):
        states.apply_trigger(self, trigger)

    def _is_current(self, event, *allowed_states):
        return (
            self.state in allowed_states
            and self._allocation is not None
            and event.attempt == self._allocation.attempt
        )

    # Before an attempt.

    def _tokens_granted(self, now_s):
        if self.state != 'waiting_for_tokens':
            return self._refund(self.job.cost)
        self._transition('grant_tokens')
        return self._request_place(now_s)

    def _request_place(self, now_s):
        job = self.job
        latest_grant_s = self._latest_grant_s()
        if now_s >= latest_grant_s:
            return self._abort(
                outcomes.Reason.DEADLINE_PASSED,
                'too little time is left before the caller leaves',
            )
        self._place_requests += 1
        self._place = ids.RequestId(f'{job.request}-{self._place_requests}')
        patience_s = min(job.patience_s, latest_grant_s - now_s)
        if self._excluded:
            patience_s = min(patience_s, EXCLUSION_PATIENCE_S)
        return [
            actions.RequestPlace(
                self._place,
                patience_s,
                self._excluded,
                self._isolation,
                self._stream_software,
            )
        ]

    def _latest_grant_s(self):
        """Return the monotonic seconds until which a place is of use.

        Once output has begun, callers wait from event to event.
        """
        job = self.job
        if not self._output:
            event_deadline_s = job.first_token_deadline_s
        elif job.event_wait_s:
            event_deadline_s = self._last_event_s + job.event_wait_s
        else:
            event_deadline_s = math.inf
        return min(job.deadline_s, event_deadline_s - job.first_token_lead_s)

    def _step_refused(self, refusal, now_s):
        if self.state not in ('waiting_for_tokens', 'queued'):
            return [_drop(refusal)]
        if self.state == 'queued' and self._excluded:
            # Only servers on which the request failed may be free.
            self._excluded = ()
            return self._request_place(now_s)
        if self._sent:
            return self._abort(refusal.reason, refusal.detail)
        return self._refuse(refusal)

    def _refuse(self, refusal):
        charged = self.state != 'waiting_for_tokens'
        released = self._release_all()
        self._transition('refuse')
        refund = self._refund(self.job.cost) if charged else []
        return [*released, *refund, actions.Refuse(refusal)]

    def _place_granted(self, event):
        if self.state != 'queued' or event.place != self._place:
            return [_drop(event), actions.ReleasePlace(event.place)]
        self._attempts += 1
        job = self.job
        attempt = ids.AttemptId(job.request, job.owner, self._attempts)
        self._allocation = _Allocation(
            attempt, event.place, event.prefill, event.decode
        )
        self._place = None
        self._decode_software = event.software
        self._progress.start_attempt()
        if not event.prefill and self._retained is None:
            self._transition('start_transfer')
            return [self._start_decode(ids.ServerId(''), '')]
        if self._retained is None:
            self._transition('start_prefill')
            return [
                actions.StartPrefill(
                    attempt, event.prefill, self._output.texts()
                )
            ]
        self._transition('start_transfer')
        return [
            self._start_decode(self._retained_source, self._retained_handle)
        ]

    # During an attempt.

    def _start_decode(self, source, handle):
        return actions.StartDecode(
            self._allocation.attempt,
            self._allocation.decode,
            source,
            handle,
            self._output.texts(),
        )

    def _prefilled(self, event):
        if not self._is_current(event, 'prefilling'):
            return [_drop(event)]
        self._arrivals.record_prefill()
        self._transition('start_transfer')
        self._sent = self._sent or self.job.prefill_counts_as_run
        self._has_run = self._has_run or self.job.prefill_counts_as_run
        if not self._output and not self.job.charge_is_final:
            self._prompt_tokens = event.prompt_tokens
        if self._exceeds_charge():
            reason = outcomes.Reason.COST_ABOVE_BURST
            return self._abort(
                reason,
                f'{self._prompt_tokens} prompt tokens and up to '
                f'{self.job.output_tokens} output tokens exceed the '
                f'{self._charged} tokens charged',
            )
        self._prefill_handle = event.handle
        return [
            *self._refund_excess(),
            self._start_decode(self._allocation.prefill, event.handle),
        ]

    def _transferred(self, event):
        if not self._is_current(event, 'transferring'):
            return [_drop(event)]
        self._arrivals.record_decode()
        self._transition('start_decode')
        self._sent = self._has_run = True
        self._runs += 1
        result = self._release_retained()
        if event.head is not None and not self._answer_begun:
            self._answer_begun = True
            result.append(actions.BeginAnswer(event.head))
        return result

    def _token_arrived(self, event, now_s):
        if not self._is_current(event, 'decoding', 'streaming'):
            return [_drop(event)]
        if event.index < len(self._output):
            return [_drop(event)]
        is_next = event.index == len(self._output)
        if not is_next or not self._output.add(event.text):
            return self._inspect_server(
                outcomes.Reason.BACKEND_FAILED, self._allocation.decode
            )
        self._last_event_s = now_s
        if self.state == 'decoding':
            self._transition('start_stream')
        if self._stream_software is None:
            self._stream_software = self._decode_software
        relay = actions.Relay(event.index, event.text)
        if self._progress.record(now_s) and self.job.parts:
            return [relay, actions.ClearParts()]
        return [relay]

    def _decoded(self, event):
        if not self._is_current(event, 'decoding', 'streaming'):
            return [_drop(event)]
        if event.tokens != len(self._output):
            return self._inspect_server(
                outcomes.Reason.BACKEND_FAILED, self._allocation.decode
            )
        self._transition('finish')
        cleanup = [actions.ReleasePlace(self._allocation.place)]
        if self._isolation is not jobs.Isolation.NONE:
            cleanup.append(actions.ClearSuspect(self.job.fingerprint))
        if self._progress.confirm() and self.job.parts:
            cleanup.append(actions.ClearParts())
        done = actions.Complete(
            self._prompt_tokens, event.tokens, event.finish_reason
        )
        return [*cleanup, *self._refund_unused(), done]

    # After a failed attempt.

    def _attempt_failed(self, event, now_s):
        if not self._is_current(event, *states.RUNNING):
            return [_drop(event)]
        if event.evacuated:
            return self._place_elsewhere(event, 0.0)
        if event.held_back:
            return self._place_elsewhere(event, HELD_BACK_DELAY_S)
        self._sent = self._sent or event.sent
        if event.sent and self.state == 'transferring':
            self._runs += 1
        self._record_failed_arrival()
        if self._may_have_crashed_server(event):
            return self._inspect_server(event.reason, event.server)
        self._record_failure(event.reason, event.server)
        if self._can_reuse_prefill(event):
            self._retain(self._allocation.prefill, self._prefill_handle)
            return self._retry(now_s)
        return [*self._release_all(), *self._retry(now_s)]

    def _place_elsewhere(self, event, delay_s):
        """Request another place, as the server of this one got nothing.

        No order is repeated, so this takes nothing from the retry budget;
        the time left to the request bounds how often it happens. The result
        of a prefill remains, also in an evacuated zone.

        :param delay_s: seconds to wait before the next placement request.
        """
        self._exclude(event.server)
        released = []
        if (
            self.state == 'transferring'
            and self._retained is None
            and self._prefill_handle
        ):
            self._retain(self._allocation.prefill, self._prefill_handle)
        elif self._retained is not None:
            released = _release(self._allocation)
            self._allocation = None
        else:
            released = self._release_all()
        self._transition('back_off')
        return [*released, actions.BackOff(delay_s, event.reason)]

    def _record_failed_arrival(self):
        """Count an order that its server has not begun to answer."""
        match self.state:
            case 'prefilling':
                self._arrivals.record_prefill()
            case 'transferring':
                self._arrivals.record_decode()

    def _may_have_crashed_server(self, event):
        if event.sent:
            return event.reason not in _NOT_INSPECTED
        return (
            self.state == 'prefilling'
            and self.job.parts is not None
            and event.reason is outcomes.Reason.BACKEND_FAILED
        )

    def _can_reuse_prefill(self, event):
        """Return whether another decode server may fetch the KV cache.

        If the chosen decode server could not be reached or was full, the
        prefill server still holds the KV cache for a short time.
        """
        return (
            self.state == 'transferring'
            and self._retained is None
            and bool(self._prefill_handle)
            and not self.job.prefill_counts_as_run
            and event.reason in _LEAVES_PREFILL
        )

    def _retain(self, source, handle):
        self._retained = self._allocation
        self._retained_source = source
        self._retained_handle = handle
        self._allocation = None

    def _inspect_server(self, reason, server):
        self._record_failure(reason, server)
        self._transition('inspect')
        return [actions.Inspect(self._allocation.attempt, server)]

    def _record_failure(self, reason, server):
        self._failures.append(reason)
        self._failed_server = server
        self._exclude(server)

    def _exclude(self, server):
        self._excluded = (*self._excluded, server)[-MAX_EXCLUDED_SERVERS:]

    def _inspected(self, event, now_s):
        if not self._is_current(event, 'inspecting'):
            return [_drop(event)]
        if event.crashed:
            return [*self._release_all(), *self._crashed(now_s)]
        released = self._release_retained()
        if event.handle is not None and self.job.repeatable:
            self._retain(self._allocation.decode, event.handle)
        else:
            released += self._release_all()
        return [*released, *self._retry(now_s)]

    def _crashed(self, now_s):
        if self.job.parts is None:
            return self._report_crash()
        if self._progress.confirmed:
            return self._retry(now_s)
        self._transition('report')
        return [actions.ReportEarlyCrash(self._failed_server)]

    def _report_crash(self):
        isolated = self._isolation is not jobs.Isolation.NONE
        if isolated:
            self._own_crashes += 1
            self._isolation = jobs.Isolation.ALONE
        else:
            self._isolation = jobs.Isolation.NO_OTHER_SUSPECT
        self._transition('report')
        report = actions.ReportCrash(
            self.job.fingerprint, self._failed_server, isolated
        )
        return [report]

    def _crash_reported(self, event, now_s):
        if self.state != 'reporting':
            return [_drop(event)]
        if event.quarantined and self.job.parts is not None:
            return self._end_quarantined()
        if event.quarantined or self._own_crashes >= MAX_OWN_CRASHES:
            reason = outcomes.Reason.REQUEST_QUARANTINED
            return self._abort(
                reason,
                'the request crashed backend servers and is not run again',
            )
        return self._retry(now_s)

    def _quarantined(self, event):
        if self.state not in states.RUNNING:
            return [_drop(event)]
        return self._end_quarantined()

    def _end_quarantined(self):
        refusal = suspicion.PART_QUARANTINED
        if self._sent:
            return self._abort(refusal.reason, refusal.detail)
        return self._refuse(refusal)

    def _retry(self, now_s):
        reason = self._failures[-1]
        if self._sent and not self.job.repeatable:
            return self._abort(reason, 'the call is not repeatable')
        if 0 < self.job.attempts <= self._runs:
            return self._abort(
                reason,
                f'all {self.job.attempts} attempts of the route are used',
            )
        repeats = self._arrivals.unpaid_repeats(self._retained is not None)
        decision = self._policy.decide(
            self._failures,
            now_s,
            self.job.deadline_s,
            self.job.jitter,
            repeats,
            self.job.model,
        )
        match decision:
            case retries.GiveUp(reason=give_up_reason):
                return self._abort(
                    give_up_reason,
                    f'not retried after {reason.name.lower()}',
                )
            case retries.Retry(delay_s=delay_s):
                self._arrivals.pay(repeats)
                self._transition('back_off')
                return [actions.BackOff(delay_s, reason)]

    def _back_off_ended(self, now_s):
        if self.state != 'backing_off':
            return [_drop(events.BackOffEnded())]
        self._transition('try_again')
        return self._request_place(now_s)

    # End of the request.

    def _abort(self, reason, detail):
        """End the request without a complete answer."""
        if not self._sent:
            return self._refuse(outcomes.not_run(reason, detail, 1.0))
        released = self._release_all()
        if not self.job.repeatable:
            self._transition('lose')
            execution = outcomes.Execution.UNKNOWN
        else:
            self._transition('fail')
            execution = outcomes.Execution.UNKNOWN
            if self._has_run:
                execution = outcomes.Execution.RAN
        refusal = outcomes.Refusal(reason, execution, detail)
        return [*released, *self._refund_unused(), actions.Refuse(refusal)]

    def _may_be_running(self):
        """Return whether a server may be running the request."""
        if self.state == 'prefilling':
            return self.job.prefill_counts_as_run
        return self.state in states.RUNNING

    def _access_lost(self, event):
        if self.ended:
            return []
        if self.state in states.WAITING and not self._sent:
            return self._refuse(outcomes.not_run(event.reason, event.detail))
        if not event.cut:
            return []
        self._sent = True
        return self._abort(event.reason, event.detail)

    def _time_ended(self, event):
        if self.ended or (event.unless_output_started and self._output):
            return []
        self._sent = self._sent or self._may_be_running()
        return self._abort(
            event.reason, 'the time ran out before the answer was complete'
        )

    def _caller_gone(self):
        if self.ended:
            return []
        charged = self.state not in ('admitted', 'waiting_for_tokens')
        started = self._sent or self.state in states.RUNNING
        released = self._release_all()
        self._transition('cancel')
        if not charged:
            return released
        if not started:
            return [*released, *self._refund(self.job.cost)]
        return [*released, *self._refund_unused()]

    def _release_all(self):
        released = self._release_retained()
        if self._place is not None:
            released.append(actions.ReleasePlace(self._place))
            self._place = None
        if self._allocation is not None:
            released += _release(self._allocation)
            self._allocation = None
        return released

    def _release_retained(self):
        if self._retained is None:
            return []
        released = _release(self._retained)
        self._retained = None
        self._retained_source = None
        self._retained_handle = None
        self._prefill_handle = None
        return released

    def _exceeds_charge(self):
        """Return whether prompt and output limit may exceed the charge."""
        if self.job.charge_is_final:
            return False
        max_cost = self._prompt_tokens + self.job.output_tokens
        return self.job.account is not None and max_cost > self._charged

    def _refund_excess(self):
        """Refund what the estimate of the prompt overcharged."""
        if self.job.charge_is_final:
            return []
        max_cost = self._prompt_tokens + self.job.output_tokens
        excess = max(0, self._charged - max_cost)
        self._charged -= excess
        return self._refund(excess)

    def _refund_unused(self):
        if self.job.charge_is_final:
            return []
        used = self._prompt_tokens + len(self._output)
        return self._refund(self._charged - used)

    def _refund(self, tokens):
        if self.job.account is None or tokens <= 0:
            return []
        return [actions.RefundTokens(self.job.account, tokens)]


def _release(allocation):
    return [
        actions.CancelAttempt(allocation.attempt, allocation.prefill),
        actions.CancelAttempt(allocation.attempt, allocation.decode),
        actions.ReleasePlace(allocation.place),
    ]


def _drop(event):
    return actions.DropEvent(type(event).__name__)
