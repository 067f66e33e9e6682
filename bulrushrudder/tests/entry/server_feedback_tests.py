import unittest

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.entry import server_feedback
from bulrushrudder.lifecycle import events
from bulrushrudder.placement import events as place_events
from bulrushrudder.tests.builders import fleet

ATTEMPT = ids.AttemptId(ids.RequestId('r1'), fleet.owner(), 1)
DECODE = ids.ServerId('decode-0')
PREFILL = ids.ServerId('prefill-0')


class VerdictTests(unittest.TestCase):
    def setUp(self):
        self.feedback = server_feedback.ServerFeedback(1)
        place = ids.RequestId('r1-1')
        self.take(events.PlaceGranted(place, PREFILL, DECODE), 0.0)

    def take(self, event, now_s):
        self.feedback.event(event, now_s)

    def begin_decode(self, now_s):
        self.take(events.PrefillDone(ATTEMPT, 'h', 10), now_s)

    def fail(self, server, reason):
        self.take(events.AttemptFailed(ATTEMPT, server, reason, ''), 0.5)

    def assert_verdict(self, verdict):
        self.assertIs(self.feedback.verdict, verdict)

    def test_complete_answer_counts_as_served(self):
        self.begin_decode(0.1)
        self.take(events.DecodeDone(ATTEMPT, 1, 'stop'), 1.0)
        self.assert_verdict(place_events.Verdict.SERVED)

    def test_failed_attempt_counts_against_decode_server(self):
        self.fail(DECODE, outcomes.Reason.BACKEND_FAILED)
        self.assert_verdict(place_events.Verdict.FAILED)

    def test_full_server_or_prefill_failure_leaves_verdict_unknown(self):
        self.fail(DECODE, outcomes.Reason.BACKEND_FULL)
        self.fail(PREFILL, outcomes.Reason.BACKEND_FAILED)
        self.assert_verdict(place_events.Verdict.UNKNOWN)

    def test_prefill_that_fails_or_is_rejected_is_reported(self):
        self.assertFalse(self.feedback.prefill_failed)
        for reason in (
            outcomes.Reason.BACKEND_FULL,
            outcomes.Reason.BACKEND_FAILED,
        ):
            with self.subTest(reason=reason):
                self.setUp()
                self.fail(PREFILL, reason)
                self.assertTrue(self.feedback.prefill_failed)

    # Guards against a time that counts for a server which did not run the
    # prefill.
    def test_new_place_has_no_prefill_time_of_the_last_one(self):
        self.begin_decode(0.1)
        place = ids.RequestId('r1-2')
        self.take(events.PlaceGranted(place, PREFILL, DECODE), 0.5)
        self.assertEqual(self.feedback.prefill_s, 0.0)

    def test_no_first_token_within_timeout_counts_as_failed(self):
        self.begin_decode(0.1)
        self.take(events.CallerGone(), 0.2)
        self.assert_verdict(place_events.Verdict.UNKNOWN)
        self.take(events.TimeEnded(True), 3.6)
        self.assert_verdict(place_events.Verdict.FAILED)

    def test_time_out_in_prefill_or_stream_leaves_verdict_unknown(self):
        self.take(events.TimeEnded(True), 3.6)
        self.begin_decode(3.7)
        self.take(events.TokenArrived(ATTEMPT, 0, 'a'), 3.8)
        self.take(events.TimeEnded(False), 14.0)
        self.assert_verdict(place_events.Verdict.UNKNOWN)


class FailureBehindLostPathTests(unittest.TestCase):
    # Guards against a decode server that fails and is never left out, as
    # the path to it is lost, and against a sound one that is.
    def verdict(self, *seen):
        feedback = server_feedback.ServerFeedback(1, lambda server: True)
        place = ids.RequestId('r1-1')
        feedback.event(events.PlaceGranted(place, '', DECODE), 0.0)
        for event in seen:
            feedback.event(event, 3.0)
        return feedback.verdict

    def failed(self, reason, of_server):
        return events.AttemptFailed(
            ATTEMPT, DECODE, reason, '', of_server=of_server
        )

    def test_failure_of_the_server_counts(self):
        for reason in (
            outcomes.Reason.BACKEND_FAILED,
            outcomes.Reason.BACKEND_SILENT,
        ):
            verdict = self.verdict(self.failed(reason, True))
            self.assertIs(verdict, place_events.Verdict.FAILED)

    def test_failure_that_the_path_explains_does_not_count(self):
        for reason in (
            outcomes.Reason.BACKEND_FAILED,
            outcomes.Reason.BACKEND_SILENT,
        ):
            verdict = self.verdict(self.failed(reason, False))
            self.assertIs(verdict, place_events.Verdict.UNKNOWN)

    def test_missing_first_token_counts_if_the_head_came_by_a_relay(self):
        head = events.TransferDone(ATTEMPT, relay='edge-2')
        verdict = self.verdict(head, events.TimeEnded(True))
        self.assertIs(verdict, place_events.Verdict.FAILED)

    def test_missing_head_or_direct_first_token_does_not_count(self):
        for seen in ((), (events.TransferDone(ATTEMPT),)):
            verdict = self.verdict(*seen, events.TimeEnded(True))
            self.assertIs(verdict, place_events.Verdict.UNKNOWN)


class LostPathTests(unittest.TestCase):
    # Guards against servers that others take for slow, as the search for
    # a way to them counts as their work.
    def measured(self, *lost):
        """Return the measurements of a request, with some paths lost."""
        feedback = server_feedback.ServerFeedback(60, lambda s: s in lost)
        place = ids.RequestId('r1-1')
        for event, now_s in (
            (events.PlaceGranted(place, PREFILL, DECODE), 0.0),
            (events.PrefillDone(ATTEMPT, 'h', 10), 0.5),
            (events.TransferDone(ATTEMPT), 1.0),
            (events.TokenArrived(ATTEMPT, 0, 'a'), 1.0),
            (events.TokenArrived(ATTEMPT, 1, 'b'), 7.0),
        ):
            feedback.event(event, now_s)
        return feedback.prefill_s, feedback.token_s

    def test_times_of_servers_with_sound_paths_are_measured(self):
        self.assertEqual(self.measured(), (0.5, 0.1))

    def test_times_behind_lost_paths_are_not_measured(self):
        self.assertEqual(self.measured(PREFILL), (0.0, 0.1))
        self.assertEqual(self.measured(DECODE), (0.5, 0.0))
