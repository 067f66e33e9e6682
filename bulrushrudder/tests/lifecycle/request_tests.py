import unittest

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.lifecycle import request
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import jobs

ATTEMPT = ids.AttemptId(ids.RequestId('1'), fleet.owner(), 1)
OTHER = ids.AttemptId(ids.RequestId('2'), fleet.owner(), 1)


def decoding(**changes):
    found = request.Request(jobs.job(**changes))
    found.start()
    found.handle(events.TokensGranted())
    found.handle(events.PlaceGranted('prefill-1', 'decode-1'))
    found.handle(events.PrefillDone(ATTEMPT, 'kv', 6))
    return found


class RequestTests(unittest.TestCase):
    def test_whole_answer_returns_the_unused_tokens(self):
        found = decoding()
        for index in range(3):
            token = events.TokenArrived(ATTEMPT, index, 'x')
            self.assertEqual(found.handle(token), [actions.Relay(index, 'x')])
        done = found.handle(events.DecodeDone(ATTEMPT, 3, 'stop'))
        self.assertEqual(
            done,
            [
                actions.ReleasePlace(),
                actions.ReturnTokens('acme', 1),
                actions.Complete(6, 3, 'stop'),
            ],
        )
        self.assertEqual(found.state, 'done')

    def test_tokens_of_another_attempt_are_dropped(self):
        found = decoding()
        token = events.TokenArrived(OTHER, 0, 'x')
        self.assertEqual(found.handle(token), [])

    def test_a_doubled_token_is_dropped(self):
        found = decoding()
        token = events.TokenArrived(ATTEMPT, 0, 'x')
        found.handle(token)
        self.assertEqual(found.handle(token), [])

    def test_caller_gone_cancels_on_both_servers(self):
        found = decoding()
        self.assertEqual(
            found.handle(events.CallerGone())[:2],
            [
                actions.CancelAttempt(ATTEMPT, 'prefill-1'),
                actions.CancelAttempt(ATTEMPT, 'decode-1'),
            ],
        )

    def test_refused_tokens_end_the_request(self):
        found = request.Request(jobs.job())
        found.start()
        refusal = outcomes.not_run(outcomes.Reason.OVER_RATE, 'later')
        self.assertEqual(
            found.handle(events.StepRefused(refusal)),
            [actions.Refuse(refusal)],
        )
        self.assertEqual(found.state, 'refused')
