import unittest

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import request
from bulrushrudder.lifecycle import retries
from bulrushrudder.tests.builders import jobs

UNREACHABLE = outcomes.Reason.BACKEND_UNREACHABLE
FULL = outcomes.Reason.BACKEND_FULL
FAILED = outcomes.Reason.BACKEND_FAILED


def find(found, kind):
    """Return the only action of a kind, or None."""
    matching = [action for action in found if isinstance(action, kind)]
    return matching[0] if matching else None


class RequestTestCase(unittest.TestCase):
    """A request of which a prefill is no run, on two decode servers."""

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
        self.place = find(self.request.start(0.0), actions.AskPlace)

    def handle(self, event):
        self.now_s += 0.01
        return self.request.handle(event, self.now_s)

    def grant(self, decode, prefill='prefill-1'):
        return self.handle(
            events.PlaceGranted(
                self.place.place, ids.ServerId(prefill), ids.ServerId(decode)
            )
        )

    def prefilled(self):
        """Run the prefill; returns the StartDecode."""
        started = find(self.grant('decode-1'), actions.StartPrefill)
        self.attempt = started.attempt
        found = self.handle(events.PrefillDone(self.attempt, 'handle', 6))
        return find(found, actions.StartDecode)

    def fail(self, reason, sent, server='decode-1'):
        return self.handle(
            events.AttemptFailed(
                self.attempt, ids.ServerId(server), reason, 'test', sent
            )
        )


class KeptResultTests(RequestTestCase):
    def test_another_decode_server_takes_the_result(self):
        self.start()
        self.prefilled()
        found = self.fail(UNREACHABLE, sent=False)
        self.assertIsNotNone(find(found, actions.BackOff))
        self.assertIsNone(find(found, actions.CancelAttempt))
        found = self.handle(events.BackOffEnded())
        self.place = find(found, actions.AskPlace)
        self.assertIn('decode-1', self.place.excluded)
        again = find(self.grant('decode-2'), actions.StartDecode)
        self.assertEqual(again.source, 'prefill-1')
        self.assertEqual(again.handle, 'handle')
        self.assertEqual(again.server, 'decode-2')

    def test_but_only_once(self):
        self.start()
        self.prefilled()
        self.fail(UNREACHABLE, sent=False)
        found = self.handle(events.BackOffEnded())
        self.place = find(found, actions.AskPlace)
        self.attempt = find(
            self.grant('decode-2'), actions.StartDecode
        ).attempt
        self.fail(UNREACHABLE, sent=False, server='decode-2')
        found = self.handle(events.BackOffEnded())
        self.place = find(found, actions.AskPlace)
        found = self.grant('decode-3')
        self.assertIsNotNone(find(found, actions.StartPrefill))


class RunsTests(RequestTestCase):
    def test_a_failed_prefill_leaves_it_not_run(self):
        self.start()
        started = find(self.grant('decode-1'), actions.StartPrefill)
        self.attempt = started.attempt
        self.fail(FAILED, sent=False, server='prefill-1')
        found = self.handle(events.TimeEnded())
        refusal = find(found, actions.Refuse).refusal
        self.assertIs(refusal.execution, outcomes.Execution.NOT_RUN)

    def test_a_decode_that_may_have_run_is_not_sent_again(self):
        self.start()
        self.prefilled()
        found = self.fail(FAILED, sent=True)
        self.assertIsNotNone(find(found, actions.Inspect))
        found = self.handle(events.Inspected(self.attempt, False, None))
        refusal = find(found, actions.Refuse).refusal
        self.assertIs(refusal.execution, outcomes.Execution.UNKNOWN)

    def test_one_that_has_not_run_may_go_elsewhere(self):
        self.start()
        self.prefilled()
        found = self.fail(FULL, sent=False)
        self.assertIsNotNone(find(found, actions.BackOff))

    def test_time_that_ends_during_a_decode_says_not_that_it_did_not_run(
        self,
    ):
        self.start()
        self.prefilled()
        found = self.handle(events.TimeEnded())
        refusal = find(found, actions.Refuse).refusal
        self.assertIsNot(refusal.execution, outcomes.Execution.NOT_RUN)

    def test_time_to_begin_ends_nothing_that_has_begun(self):
        self.start()
        self.prefilled()
        self.handle(events.TransferDone(self.attempt, 'head'))
        self.handle(events.TokenArrived(self.attempt, 0, b'x'))
        self.assertEqual(self.handle(events.TimeEnded(True)), [])
        self.assertNotEqual(self.handle(events.TimeEnded()), [])

    def test_a_route_bounds_the_servers_that_run_a_request(self):
        self.start(repeatable=True, attempts=1)
        self.prefilled()
        self.handle(events.TransferDone(self.attempt, 'head'))
        self.fail(FAILED, sent=True)
        found = self.handle(events.Inspected(self.attempt, False, None))
        self.assertIsNotNone(find(found, actions.Refuse))

    def test_a_second_run_is_within_the_bound_of_two(self):
        self.start(repeatable=True, attempts=2)
        self.prefilled()
        self.handle(events.TransferDone(self.attempt, 'head'))
        self.fail(FAILED, sent=True)
        found = self.handle(events.Inspected(self.attempt, False, None))
        self.assertIsNotNone(find(found, actions.BackOff))
