import asyncio
import types
import unittest

from returns import result

from bulrushrudder.core import keys
from bulrushrudder.core import outcomes
from bulrushrudder.documents import differences
from bulrushrudder.engines import services as plain_services
from bulrushrudder.entry import access
from bulrushrudder.entry import admission
from bulrushrudder.entry import calls_in_flight
from bulrushrudder.entry import service_calls
from bulrushrudder.idempotency import events
from bulrushrudder.lifecycle import events as lifecycle_events
from bulrushrudder.metrics import entry as metrics_entry
from bulrushrudder.observers import view as observers_view
from bulrushrudder.state import documents as state_documents
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import frontends

DOCUMENT = documents.document(routes=(documents.filing_route(),))
CHARGE = types.SimpleNamespace(tokens=3)
PLACE_GRANTED = lifecycle_events.PlaceGranted('1-1', 'p1', 'd1', '')


def withdraw_key(view):
    """Put a document in force that lacks the key of the account."""
    account = documents.account(key='brk_other')
    changed = documents.document(2, (account,), DOCUMENT.routes)
    submitted = state_documents.SubmitDocument(
        base_version=1,
        base_digest='d1',
        difference=differences.between(DOCUMENT, changed),
        digest='d2',
        operator='ana',
    )
    view.apply(3, submitted)
    view.apply(4, state_documents.PromoteDocument(2, 'd2', 'ana'))


class FakeServices:
    """The shared services of a call to a server that is always free.

    :param while_waiting: called while the call waits for its tokens.
    """

    def __init__(self, view, while_waiting):
        self.view = view
        self.metrics = metrics_entry.EntryMetrics()
        self.retries = types.SimpleNamespace(
            record_admission=lambda now_s, service: None
        )
        self.in_flight = calls_in_flight.CallsInFlight()
        self.authority_client = self.call_permits = self
        self.service_router = types.SimpleNamespace(
            call=self.send, takes_requests=lambda server: True
        )
        self.doubts = lambda server: False
        self.refunded = []
        self.sent = []
        self._while_waiting = while_waiting

    async def request_tokens(self, account, tokens, patience_s):
        self._while_waiting(self.view)
        return result.Success(CHARGE)

    async def refund(self, charge, tokens):
        self.refunded.append(tokens)

    async def choose(self, service, call, tried):
        return result.Success(types.SimpleNamespace(id='s1'))

    async def send(self, server, call):
        self.sent.append(call)
        return result.Success(plain_services.Reply(200, (), b''))


class WaitingCallTests(unittest.IsolatedAsyncioTestCase):
    # Guards against a call that is sent although its key was withdrawn, or
    # could no longer be checked, while it waited.

    async def send(self, age_s=0.0, while_waiting=lambda view: None):
        now_s = asyncio.get_running_loop().time()
        view = frontends.fresh_view(DOCUMENT, now_s - age_s)
        account = view.lookups.document.accounts[0]
        (route,) = DOCUMENT.routes
        admitted = admission.AdmittedCall(
            route, account, keys.digest(documents.CALLER_KEY)
        )
        self.services = FakeServices(view, while_waiting)
        call = plain_services.Call('POST', '/filings', (), b'', 5.0)
        calls = service_calls.ServiceCalls(self.services)
        return await calls.send(admitted, 'portal', call)

    def check_refused(self, outcome, reason):
        self.assertIsInstance(outcome, events.Failed)
        refusal = outcome.refusal
        self.assertEqual(refusal.reason, reason)
        self.assertEqual(refusal.execution, outcomes.Execution.NOT_RUN)
        self.assertEqual(self.services.sent, [])
        self.assertEqual(self.services.refunded, [CHARGE.tokens])

    async def test_call_with_valid_key_is_sent(self):
        await self.send()
        self.assertEqual(len(self.services.sent), 1)

    async def test_call_is_refused_if_its_key_is_withdrawn_meanwhile(self):
        outcome = await self.send(while_waiting=withdraw_key)
        self.check_refused(outcome, outcomes.Reason.KEY_UNKNOWN)

    async def test_call_is_refused_if_view_is_outdated_after_a_pause(self):
        outcome = await self.send(age_s=observers_view.FRESHNESS_BOUND_S + 1)
        self.check_refused(outcome, outcomes.Reason.VIEW_STALE)


class GrantedPlaceTests(unittest.TestCase):
    # Guards against a request to a model that is sent after a pause, before
    # the next periodic check of its key.

    def loss(self, age_s, event):
        view = frontends.fresh_view(DOCUMENT, 100.0)
        (route,) = DOCUMENT.routes
        admitted = admission.AdmittedCall(
            route,
            view.lookups.document.accounts[0],
            keys.digest(documents.CALLER_KEY),
        )
        return access.loss_before(event, view, 100.0 + age_s, admitted)

    def test_grant_is_preceded_by_loss_of_access_after_a_pause(self):
        pause_s = observers_view.FRESHNESS_BOUND_S + 1
        for event in (lifecycle_events.TokensGranted(), PLACE_GRANTED):
            with self.subTest(event):
                (lost,) = self.loss(pause_s, event)
                self.assertIs(lost.reason, outcomes.Reason.VIEW_STALE)

    def test_grant_within_freshness_is_passed_on_alone(self):
        self.assertEqual(self.loss(0.5, PLACE_GRANTED), ())
