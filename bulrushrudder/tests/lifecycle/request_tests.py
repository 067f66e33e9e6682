import unittest

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import output
from bulrushrudder.lifecycle import request
from bulrushrudder.lifecycle import retries
from bulrushrudder.tests.builders import jobs

UNREACHABLE = outcomes.Reason.BACKEND_UNREACHABLE
FULL = outcomes.Reason.BACKEND_FULL
FAILED = outcomes.Reason.BACKEND_FAILED


def find_action(returned, kind):
    """Return the only action of a kind, or None."""
    matching = [action for action in returned if isinstance(action, kind)]
    return matching[0] if matching else None


class RequestTestCase(unittest.TestCase):
    """Tests with a request whose prefill does not count as a run."""

    def start(self, **changes):
        fields = {
            'account': None,
            'prefill_counts_as_run': False,
            'charge_is_final': True,
            'repeatable': False,
            'attempts': 1,
            **changes,
        }
        self.now_s = 0.0
        self.request = request.Request(
            jobs.job(**fields), retries.RetryPolicy()
        )
        self.place = find_action(self.request.start(0.0), actions.RequestPlace)

    def handle(self, event):
        self.now_s += 0.01
        return self.request.handle(event, self.now_s)

    def grant_place(self, decode, prefill='prefill-1'):
        return self.handle(
            events.PlaceGranted(
                self.place.place, ids.ServerId(prefill), ids.ServerId(decode)
            )
        )

    def run_prefill(self):
        """Finish the prefill and return the StartDecode."""
        started = find_action(
            self.grant_place('decode-1'), actions.StartPrefill
        )
        self.attempt = started.attempt
        returned = self.handle(events.PrefillDone(self.attempt, 'handle', 6))
        return find_action(returned, actions.StartDecode)

    def fail_attempt(self, reason, sent, server='decode-1'):
        return self.handle(
            events.AttemptFailed(
                self.attempt, ids.ServerId(server), reason, 'test', sent
            )
        )


class HeldBackTests(RequestTestCase):
    # Guards against requests that are lost because a zone's servers are
    # cold, or that use up the retry budget although nothing was sent.

    def hold_back(self, server):
        event = events.AttemptFailed(
            self.attempt,
            ids.ServerId(server),
            FULL,
            'cold',
            False,
            held_back=True,
        )
        returned = self.handle(event)
        self.assertIsNotNone(find_action(returned, actions.BackOff))
        returned = self.handle(events.BackOffEnded())
        self.place = find_action(returned, actions.RequestPlace)
        self.assertIn(server, self.place.excluded)

    def test_decode_goes_elsewhere_with_its_prefill_however_often(self):
        self.start()
        self.run_prefill()
        for number in range(1, 6):
            self.hold_back(f'decode-{number}')
            decode = find_action(
                self.grant_place(f'decode-{number + 1}'), actions.StartDecode
            )
            self.assertEqual(decode.handle, 'handle')
            self.assertEqual(decode.source, 'prefill-1')
            self.attempt = decode.attempt

    def test_prefill_goes_elsewhere_without_being_paid_for(self):
        self.start()
        for number in range(1, round(retries.BUDGET_FLOOR) + 2):
            granted = self.grant_place('decode-1', f'prefill-{number}')
            prefill = find_action(granted, actions.StartPrefill)
            self.attempt = prefill.attempt
            self.hold_back(f'prefill-{number}')
        policy = self.request._policy
        self.assertTrue(policy.take_retry(self.now_s))


class PrefillReuseTests(RequestTestCase):
    def test_another_decode_server_fetches_kv_cache(self):
        for reason in (UNREACHABLE, FULL):
            with self.subTest(reason=reason):
                self.check_reuse(reason)

    def check_reuse(self, reason):
        self.start()
        self.run_prefill()
        returned = self.fail_attempt(reason, sent=False)
        self.assertIsNotNone(find_action(returned, actions.BackOff))
        self.assertIsNone(find_action(returned, actions.CancelAttempt))
        returned = self.handle(events.BackOffEnded())
        self.place = find_action(returned, actions.RequestPlace)
        self.assertIn('decode-1', self.place.excluded)
        restarted = find_action(
            self.grant_place('decode-2'), actions.StartDecode
        )
        self.assertEqual(restarted.source, 'prefill-1')
        self.assertEqual(restarted.handle, 'handle')
        self.assertEqual(restarted.server, 'decode-2')

    def test_prefills_again_after_second_decode_that_fails(self):
        for reason in (UNREACHABLE, FULL):
            with self.subTest(reason=reason):
                self.check_second_failure(reason)

    def check_second_failure(self, reason):
        self.start()
        self.run_prefill()
        self.fail_attempt(reason, sent=False)
        returned = self.handle(events.BackOffEnded())
        self.place = find_action(returned, actions.RequestPlace)
        self.attempt = find_action(
            self.grant_place('decode-2'), actions.StartDecode
        ).attempt
        self.fail_attempt(reason, sent=False, server='decode-2')
        returned = self.handle(events.BackOffEnded())
        self.place = find_action(returned, actions.RequestPlace)
        returned = self.grant_place('decode-3')
        self.assertIsNotNone(find_action(returned, actions.StartPrefill))


class RunTests(RequestTestCase):
    def test_reports_not_run_after_failed_prefill(self):
        self.start()
        started = find_action(
            self.grant_place('decode-1'), actions.StartPrefill
        )
        self.attempt = started.attempt
        self.fail_attempt(FAILED, sent=False, server='prefill-1')
        returned = self.handle(events.TimeEnded())
        refusal = find_action(returned, actions.Refuse).refusal
        self.assertIs(refusal.execution, outcomes.Execution.NOT_RUN)

    def test_does_not_retry_decode_that_may_have_run(self):
        self.start()
        self.run_prefill()
        returned = self.fail_attempt(FAILED, sent=True)
        self.assertIsNotNone(find_action(returned, actions.Inspect))
        returned = self.handle(events.Inspected(self.attempt, False, None))
        refusal = find_action(returned, actions.Refuse).refusal
        self.assertIs(refusal.execution, outcomes.Execution.UNKNOWN)

    def test_retries_decode_that_has_not_run(self):
        self.start()
        self.run_prefill()
        returned = self.fail_attempt(FULL, sent=False)
        self.assertIsNotNone(find_action(returned, actions.BackOff))

    def test_deadline_during_decode_does_not_report_not_run(
        self,
    ):
        self.start()
        self.run_prefill()
        returned = self.handle(events.TimeEnded())
        refusal = find_action(returned, actions.Refuse).refusal
        self.assertIsNot(refusal.execution, outcomes.Execution.NOT_RUN)

    def test_first_token_deadline_is_ignored_after_first_token(self):
        self.start()
        self.run_prefill()
        self.handle(events.TransferDone(self.attempt, 'head'))
        self.handle(events.TokenArrived(self.attempt, 0, b'x'))
        self.assertEqual(self.handle(events.TimeEnded(True)), [])
        self.assertNotEqual(self.handle(events.TimeEnded()), [])

    def test_refuses_when_attempts_of_route_are_used(self):
        self.start(repeatable=True, attempts=1)
        self.run_prefill()
        self.handle(events.TransferDone(self.attempt, 'head'))
        self.fail_attempt(FAILED, sent=True)
        returned = self.handle(events.Inspected(self.attempt, False, None))
        self.assertIsNotNone(find_action(returned, actions.Refuse))

    def test_retries_while_route_allows_another_attempt(self):
        self.start(repeatable=True, attempts=2)
        self.run_prefill()
        self.handle(events.TransferDone(self.attempt, 'head'))
        self.fail_attempt(FAILED, sent=True)
        returned = self.handle(events.Inspected(self.attempt, False, None))
        self.assertIsNotNone(find_action(returned, actions.BackOff))

    def test_tells_run_that_began_from_one_that_may_have_begun(self):
        for head, execution in (
            (None, outcomes.Execution.UNKNOWN),
            ('head', outcomes.Execution.RAN),
        ):
            with self.subTest(execution.value):
                self.start(repeatable=True, attempts=1)
                self.run_prefill()
                if head is not None:
                    self.handle(events.TransferDone(self.attempt, head))
                self.fail_attempt(FAILED, sent=True)
                returned = self.handle(
                    events.Inspected(self.attempt, False, None)
                )
                refusal = find_action(returned, actions.Refuse).refusal
                self.assertIs(refusal.execution, execution)


class OutputLimitTests(RequestTestCase):
    def stream(self, texts):
        """Send the events of a stream; return the actions after the last."""
        self.start(output_tokens=4)
        self.run_prefill()
        returned = self.handle(events.TransferDone(self.attempt))
        for index, text in enumerate(texts):
            returned = self.handle(
                events.TokenArrived(self.attempt, index, text)
            )
        return returned

    def test_stream_of_more_events_than_allowed_fails(self):
        allowed = 4 + output.MAX_EXTRA_EVENTS
        returned = self.stream([b'x'] * allowed)
        self.assertIsNotNone(find_action(returned, actions.Relay))
        returned = self.stream([b'x'] * (allowed + 1))
        self.assertIsNone(find_action(returned, actions.Relay))
        self.assertIsNotNone(find_action(returned, actions.Inspect))

    def test_stream_of_more_bytes_than_allowed_fails(self):
        text = b'x' * (output.MAX_EXTRA_BYTES // 2)
        returned = self.stream([text] * 2)
        self.assertIsNotNone(find_action(returned, actions.Relay))
        returned = self.stream([text] * 3)
        self.assertIsNone(find_action(returned, actions.Relay))
        self.assertIsNotNone(find_action(returned, actions.Inspect))

    def test_stream_of_unstated_length_is_limited_too(self):
        kept = output.Output(0)
        self.assertTrue(kept.add(b'x' * output.MAX_EXTRA_BYTES))
        while kept.add(b'x' * 4096):
            pass
        size = sum(len(text) for text in kept.texts())
        self.assertLess(size, 5 * 1024 * 1024)


class ResumedStreamTests(RequestTestCase):
    """Guards against a stream that is lost because it broke off late."""

    def break_off(self, after_s, **changes):
        """Break a stream off some time after its last event.

        :returns: the actions after the back-off.
        """
        self.start(
            repeatable=True,
            attempts=0,
            first_token_deadline_s=3.0,
            first_token_lead_s=0.5,
            deadline_s=14.0,
            **changes,
        )
        self.run_prefill()
        self.handle(events.TransferDone(self.attempt))
        self.now_s = 8.0
        self.handle(events.TokenArrived(self.attempt, 0, b'x'))
        self.now_s += after_s
        self.fail_attempt(FAILED, sent=True)
        returned = self.handle(events.Inspected(self.attempt, False, None))
        self.assertIsNotNone(find_action(returned, actions.BackOff))
        return self.handle(events.BackOffEnded())

    def test_stream_that_breaks_off_late_is_taken_up(self):
        for wait_s in (3.6, 0.0):
            with self.subTest(wait_s):
                returned = self.break_off(0.1, event_wait_s=wait_s)
                place = find_action(returned, actions.RequestPlace)
                self.assertIsNotNone(place)
                self.assertGreater(place.patience_s, 0.0)

    def test_stream_whose_caller_has_left_is_not_taken_up(self):
        returned = self.break_off(3.2, event_wait_s=3.6)
        self.assertIsNone(find_action(returned, actions.RequestPlace))


class LatestGrantTests(RequestTestCase):
    """Callers leave at 3.4 s, and a first token takes 0.5 s."""

    def start_leaving(self):
        self.start(
            repeatable=True,
            attempts=0,
            patience_s=5.0,
            first_token_deadline_s=3.4,
            first_token_lead_s=0.5,
        )

    def test_place_is_waited_for_until_first_token_can_come_in_time(self):
        self.start_leaving()
        self.assertAlmostEqual(self.place.patience_s, 2.9)

    def test_no_prefill_starts_again_shortly_before_caller_leaves(self):
        self.start_leaving()
        self.run_prefill()
        self.fail_attempt(FULL, sent=False)
        self.now_s = 2.95
        returned = self.handle(events.BackOffEnded())
        self.assertIsNone(find_action(returned, actions.RequestPlace))
        refusal = find_action(returned, actions.Refuse).refusal
        self.assertIs(refusal.execution, outcomes.Execution.NOT_RUN)


class FinalChargeTests(RequestTestCase):
    def start_charged(self, cost):
        self.start(account=ids.AccountId('acme'), cost=cost)
        returned = self.handle(events.TokensGranted())
        self.place = find_action(returned, actions.RequestPlace)

    def test_call_charged_less_than_its_tokens_is_served(self):
        self.start_charged(cost=1)
        self.assertIsNotNone(self.run_prefill())

    def test_charge_above_stated_tokens_is_not_refunded(self):
        self.start_charged(cost=200)
        started = find_action(
            self.grant_place('decode-1'), actions.StartPrefill
        )
        returned = self.handle(events.PrefillDone(started.attempt, 'kv', 6))
        self.assertIsNone(find_action(returned, actions.RefundTokens))


class EarlyCrashTests(RequestTestCase):
    """Tests with a prompt that is known by its parts."""

    def start_decode(self, **changes):
        self.start(parts=('first', 'part'), **changes)
        self.run_prefill()
        self.handle(events.TransferDone(self.attempt, 'head'))

    def crash(self):
        self.fail_attempt(FAILED, sent=True)
        return self.handle(events.Inspected(self.attempt, True, None))

    def test_crash_before_output_is_reported(self):
        self.start_decode()
        returned = self.crash()
        report = find_action(returned, actions.ReportEarlyCrash)
        self.assertEqual(report.server, 'decode-1')
        returned = self.handle(events.CrashReported(False))
        self.assertIsNotNone(find_action(returned, actions.Refuse))

    def test_crash_right_after_first_output_is_reported(self):
        self.start_decode()
        self.handle(events.TokenArrived(self.attempt, 0, b'x'))
        returned = self.crash()
        self.assertIsNotNone(find_action(returned, actions.ReportEarlyCrash))

    def test_crash_after_steady_output_is_not_reported(self):
        self.start_decode(repeatable=True, attempts=2)
        self.handle(events.TokenArrived(self.attempt, 0, b'x'))
        self.now_s += 0.2
        self.handle(events.TokenArrived(self.attempt, 1, b'x'))
        returned = self.crash()
        self.assertIsNone(find_action(returned, actions.ReportEarlyCrash))
        self.assertIsNotNone(find_action(returned, actions.BackOff))

    def repeat(self):
        """Start the second attempt."""
        returned = self.handle(events.BackOffEnded())
        self.place = find_action(returned, actions.RequestPlace)
        started = find_action(
            self.grant_place('decode-2'), actions.StartPrefill
        )
        self.attempt = started.attempt
        self.handle(events.PrefillDone(self.attempt, 'handle', 6))
        self.handle(events.TransferDone(self.attempt, 'head'))

    def test_second_attempt_that_crashes_a_server_is_reported(self):
        self.start_decode(repeatable=True, attempts=3)
        self.handle(events.TokenArrived(self.attempt, 0, b'x'))
        self.crash()
        self.handle(events.CrashReported(False))
        self.now_s += 0.2
        self.repeat()
        returned = self.crash()
        self.assertIsNotNone(find_action(returned, actions.ReportEarlyCrash))

    def test_prefill_that_crashes_its_server_is_reported(self):
        self.start(parts=('first', 'part'))
        started = find_action(
            self.grant_place('decode-1'), actions.StartPrefill
        )
        self.attempt = started.attempt
        self.fail_attempt(FAILED, sent=False, server='prefill-1')
        returned = self.handle(events.Inspected(self.attempt, True, None))
        report = find_action(returned, actions.ReportEarlyCrash)
        self.assertEqual(report.server, 'prefill-1')
        returned = self.handle(events.CrashReported(True))
        refusal = find_action(returned, actions.Refuse).refusal
        self.assertIs(refusal.execution, outcomes.Execution.NOT_RUN)

    def test_failure_without_crash_is_not_reported(self):
        self.start_decode()
        self.fail_attempt(FAILED, sent=True)
        returned = self.handle(events.Inspected(self.attempt, False, None))
        self.assertIsNone(find_action(returned, actions.ReportEarlyCrash))

    def test_quarantined_request_is_not_repeated(self):
        self.start_decode(repeatable=True, attempts=2)
        self.crash()
        returned = self.handle(events.CrashReported(True))
        refusal = find_action(returned, actions.Refuse).refusal
        self.assertIs(refusal.reason, outcomes.Reason.REQUEST_QUARANTINED)
        self.assertIs(refusal.execution, outcomes.Execution.RAN)

    def test_request_quarantined_before_decode_has_not_run(self):
        self.start(parts=('first', 'part'))
        self.run_prefill()
        returned = self.handle(events.Quarantined())
        refusal = find_action(returned, actions.Refuse).refusal
        self.assertIs(refusal.execution, outcomes.Execution.NOT_RUN)
        self.assertGreater(refusal.retry_after_s, 1.0)
        self.assertIsNotNone(find_action(returned, actions.ReleasePlace))

    def test_parts_are_cleared_once_output_is_steady(self):
        self.start_decode()
        cleared = []
        for index in range(40):
            returned = self.handle(
                events.TokenArrived(self.attempt, index, b'x')
            )
            cleared.append(find_action(returned, actions.ClearParts))
        self.assertIsNone(cleared[0])
        self.assertEqual(sum(a is not None for a in cleared), 1)

    def test_parts_of_short_answer_are_cleared_at_its_end(self):
        self.start_decode()
        self.handle(events.TokenArrived(self.attempt, 0, b'x'))
        returned = self.handle(events.DecodeDone(self.attempt, 1, 'stop'))
        self.assertIsNotNone(find_action(returned, actions.ClearParts))
