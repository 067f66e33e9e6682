"""Turns clients' calls into jobs for the platform's runners."""

import asyncio
import hashlib
import random

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.entry import waits
from bulrushrudder.lifecycle import job as jobs

# Clients abandon a stream without any event after the longest of: this
# time, a multiple of the latency target, a multiple of the target pause
# between events.
MIN_CLIENT_WAIT_S = 2.0
CLIENT_WAIT_TARGETS = 4.0
CLIENT_WAIT_PAUSES = 8.0
# The first event has to reach the client before that time ends.
USABLE_CLIENT_WAIT_SHARE = 0.95
# From the grant of a place to the first event, for a long prompt.
GRANT_TO_FIRST_EVENT_S = 0.5
# Length estimates are medians: half of the answers are longer.
ESTIMATED_TOKEN_S = 0.0045
# A client's retry starts only if this share of its estimated duration
# fits into the client's remaining time: estimates are off by a factor of
# 1.5. First attempts are not checked.
MIN_RUN_SHARE = 0.7
_FINGERPRINT_BYTES = 16


class JobBuilder:
    """Builds the jobs of an entry process.

    :param shared: the SharedServices of the process.
    """

    def __init__(self, shared):
        self._services = shared
        self._waits = waits.WaitEstimator()

    def build(
        self, forwarded_call, request_headers, admitted, service, software
    ):
        """Return the Job of a call.

        :param forwarded_call: the ForwardedCall.
        :param request_headers: the RequestHeaders.
        :param admitted: the AdmittedCall.
        :param service: the Service that has the engines.
        :param software: version of the software that began the stream which
            the call takes up again; None for a new stream.
        """
        target = admitted.route.target
        account = admitted.account
        received_s = forwarded_call.deadline_s - forwarded_call.timeout_s
        first_token_deadline_s = (
            received_s + _client_wait_s(target) * USABLE_CLIENT_WAIT_SHARE
        )
        spent_s = self._waits.earlier_wait_s(
            admitted.route.id, forwarded_call.timeout_s, received_s
        )
        if spent_s > 0.0 and software is None:
            tokens = (
                request_headers.expected_tokens
                or request_headers.output_tokens
            )
            needed_s = tokens * ESTIMATED_TOKEN_S * MIN_RUN_SHARE
            first_token_deadline_s = min(
                first_token_deadline_s, forwarded_call.deadline_s - needed_s
            )
        cost = request_headers.prompt_tokens + request_headers.output_tokens
        if account and not (
            account.by_tokens and request_headers.has_token_usage
        ):
            cost = account.call_tokens
        return jobs.Job(
            request=ids.RequestId(str(self._services.next_request_number())),
            owner=self._services.owner,
            account=account.id if account else None,
            model=ids.ModelId(service.id),
            prompt='',
            prompt_tokens=request_headers.prompt_tokens,
            output_tokens=request_headers.output_tokens,
            cost=cost,
            interactive=False,
            patience_s=max(
                0.0, first_token_deadline_s - GRANT_TO_FIRST_EVENT_S - _now_s()
            ),
            first_token_deadline_s=first_token_deadline_s,
            first_token_lead_s=GRANT_TO_FIRST_EVENT_S,
            repeatable=target.repetition is not types.Repetition.NOTHING,
            fingerprint=fingerprint(forwarded_call, admitted),
            deadline_s=forwarded_call.deadline_s,
            jitter=random.random(),
            content=forwarded_call,
            attempts=target.attempts,
            prefill_counts_as_run=False,
            charge_is_final=True,
            expected_tokens=request_headers.expected_tokens,
            event_tokens=service.engine.event_tokens,
            accepts_late_answer=True,
            parts=tuple(
                f'{service.id}/{part}' for part in request_headers.shared_parts
            ),
            waiting_since_s=received_s - spent_s,
            stream=request_headers.attempt if software is None else '',
            software=software,
            event_wait_s=_client_wait_s(target),
            rank=admitted.rank,
            target_s=target.answer_s,
        )


def fingerprint(forwarded_call, admitted):
    """Return a digest that is the same for every resend of a call."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    account = admitted.account.id if admitted.account else ''
    for part in (
        forwarded_call.target.encode(),
        account.encode(),
        forwarded_call.body,
    ):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def _client_wait_s(target):
    """Return the seconds without an event after which a client leaves."""
    return max(
        MIN_CLIENT_WAIT_S,
        CLIENT_WAIT_TARGETS * target.answer_s,
        CLIENT_WAIT_PAUSES * target.between_events_s,
    )


def _now_s():
    return asyncio.get_running_loop().time()
