import unittest

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
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


class FailedCallTests(unittest.TestCase):
    # Guards against a part of an answer that is replayed, and a call that
    # is run again, after a server ended its answer during the upload.

    def setUp(self):
        self.table = intents.Intents()

    def commit(self, emitted):
        for action in emitted:
            match action:
                case actions.Propose(command=command):
                    self.table.apply(1, command)

    def start(self, number):
        """Start the call, or a resend of it; return its Call and actions."""
        dispatch = intents.Dispatch(fleet.owner(), number)
        started = call.Call(
            call.Registration(KEY, 'f', dispatch, 60.0, 9, 99, 5.0)
        )
        self.commit(started.start(0.0))
        read = events.RegisterRead(self.table.by_key[KEY], True)
        return started, started.handle(read, 0.1)

    def test_call_with_partial_answer_is_recorded_as_unknown(self):
        first, sent = self.start(1)
        self.assertEqual(sent, [actions.Send()])
        refusal = outcomes.Refusal(
            outcomes.Reason.BACKEND_FAILED, outcomes.Execution.UNKNOWN, ''
        )
        self.commit(first.handle(events.Failed(refusal), 0.2))
        recorded = self.table.by_key[KEY]
        self.assertIs(recorded.phase, intents.Phase.UNKNOWN)
        self.assertIsNone(recorded.answer)
        _, (refused,) = self.start(2)
        self.assertIs(refused.refusal.execution, outcomes.Execution.UNKNOWN)


class FullRegisterTests(unittest.TestCase):
    # Guards against a call that is refused as not run, and whose id then
    # counts as running for ever, because the leader changed meanwhile and an
    # earlier answer of the full register arrived late.

    def setUp(self):
        self.table = intents.Intents()
        self.index = 0
        self.call = self.new_call('filing-1', 1)
        self.commands = self.proposed(self.call.start(0.0))

    def new_call(self, key_id, number):
        key = intents.IntentKey(KEY.environment, KEY.account, key_id)
        dispatch = intents.Dispatch(fleet.owner(), number)
        return call.Call(
            call.Registration(key, 'f', dispatch, 60.0, 1, 99, 5.0)
        )

    def proposed(self, emitted):
        return [a.command for a in emitted if isinstance(a, actions.Propose)]

    def commit(self, command):
        self.index += 1
        return self.table.apply(self.index, command)

    def fill_and_free(self):
        """Reject the call's first proposal, then make room for the next."""
        (other,) = self.proposed(self.new_call('filing-2', 2).start(0.0))
        self.commit(other)
        rejected = self.commit(self.commands.pop())
        self.assertEqual(rejected.problem, intents.FULL)
        withdrawn = intents.CloseIntent(
            other.key,
            other.fingerprint,
            other.dispatch,
            intents.Phase.WITHDRAWN,
            60.0,
            1,
        )
        self.commit(withdrawn)
        self.commit(intents.AdvanceClock(0.0, 61.0))

    def test_late_answer_of_full_register_leaves_no_open_intent(self):
        self.fill_and_free()
        read = events.RegisterRead(None, False)
        (second,) = self.proposed(self.call.handle(read, 0.6))
        self.commit(second)
        emitted = self.call.handle(events.RegisterFull(), 0.7)
        refusals = [a for a in emitted if isinstance(a, actions.Refuse)]
        self.assertEqual(
            [r.refusal.reason for r in refusals],
            [outcomes.Reason.REGISTER_FULL],
        )
        for command in self.proposed(emitted):
            self.commit(command)
        phase = self.table.by_key[KEY].phase
        self.assertIs(phase, intents.Phase.WITHDRAWN)
        self.call.handle(
            events.RegisterRead(self.table.by_key[KEY], True), 0.8
        )
        self.assertTrue(self.call.ended)

    def test_call_whose_only_proposal_was_rejected_ends_at_once(self):
        self.fill_and_free()
        emitted = self.call.handle(events.RegisterFull(), 0.1)
        self.assertEqual(self.proposed(emitted), [])
        self.assertTrue(self.call.ended)
