import unittest

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.idempotency import actions
from bulrushrudder.idempotency import call
from bulrushrudder.idempotency import events
from bulrushrudder.state import intents
from bulrushrudder.tests.builders import fleet

KEY = intents.IntentKey(
    types.Environment.PRODUCTION, ids.AccountId('acme'), 'filing-1'
)


class DuplicateTests(unittest.TestCase):
    def test_answer_not_kept_names_both_possible_causes(self):
        resent = call.Call(
            call.Registration(
                KEY, 'f', intents.Dispatch(fleet.owner(), 2), 60, 9, 99, 5.0
            )
        )
        resent.start(0.0)
        answered = intents.Intent(
            KEY,
            'f',
            intents.Dispatch(fleet.owner(), 1),
            intents.Phase.ANSWERED,
            60.0,
        )
        (refused,) = resent.handle(events.RegisterRead(answered, True), 0.1)
        self.assertIsInstance(refused, actions.Refuse)
        self.assertIn('too large', refused.refusal.detail)
        self.assertIn('register was full', refused.refusal.detail)
