import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.tests.lifecycle import request_tests

PREFILL = ids.ServerId('prefill-1')
DECODE = ids.ServerId('decode-1')
find_action = request_tests.find_action


class EvacuationTests(request_tests.RequestTestCase):
    """Guards against requests that fail because their zone is evacuated.

    They have been placed there, but nothing has been sent.
    """

    def spend_retry_budget(self):
        while self.request._policy.take_retry(self.now_s):
            pass

    def place_again(self, server, decode):
        """Fail the attempt; return the actions after another grant."""
        self.spend_retry_budget()
        failed = events.AttemptFailed(
            self.attempt, server, request_tests.UNREACHABLE, 'test', False
        )
        returned = self.handle(dataclasses.replace(failed, evacuated=True))
        self.assertIsNotNone(find_action(returned, actions.BackOff))
        self.place = find_action(
            self.handle(events.BackOffEnded()), actions.RequestPlace
        )
        return self.grant_place(decode)

    def test_prefill_goes_elsewhere_without_retry_budget(self):
        self.start()
        started = find_action(self.grant_place(DECODE), actions.StartPrefill)
        self.attempt = started.attempt
        returned = self.place_again(PREFILL, 'decode-2')
        self.assertIsNotNone(find_action(returned, actions.StartPrefill))

    def test_another_decode_server_fetches_result_of_prefill(self):
        # Also where the prefill counts as a run that must not be repeated.
        for counts_as_run in (False, True):
            with self.subTest(counts_as_run):
                self.start(prefill_counts_as_run=counts_as_run)
                self.run_prefill()
                returned = self.place_again(DECODE, 'decode-2')
                started = find_action(returned, actions.StartDecode)
                self.assertEqual(
                    (started.server, started.source, started.handle),
                    ('decode-2', PREFILL, 'handle'),
                )

    def test_result_outlasts_second_server_that_is_evacuated(self):
        self.start()
        self.run_prefill()
        returned = self.place_again(DECODE, 'decode-2')
        self.attempt = find_action(returned, actions.StartDecode).attempt
        returned = self.place_again(ids.ServerId('decode-2'), 'decode-3')
        started = find_action(returned, actions.StartDecode)
        self.assertEqual(
            (started.server, started.source), ('decode-3', PREFILL)
        )
