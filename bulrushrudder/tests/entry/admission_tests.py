import unittest

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.documents import types
from bulrushrudder.entry import admission
from bulrushrudder.observers import view
from bulrushrudder.platform import configuration
from bulrushrudder.state import documents
from bulrushrudder.tests.builders import platform as builders

VIEW_STALE = outcomes.Reason.VIEW_STALE


def confirmed_view(*confirmed_at_s):
    """Return a View with a document, confirmed current at given times."""
    found = view.View(types.Environment.PRODUCTION, 3600.0)
    document = configuration.read(
        builders.encoded(builders.CONFIGURATION)
    ).unwrap()
    command = documents.AdoptDocument(document, b'{}', 'digest', 'test')
    found.apply(1, command)
    for now_s in confirmed_at_s:
        found.confirm_round(found.begin_round(now_s), 1)
    return found


class OutdatedViewTests(unittest.TestCase):
    def admit(self, found, now_s, path='/drafts/1', key='acme-key'):
        return admission.admit(
            found, now_s, False, 'POST', path, key, 'one.example'
        )

    def reason(self, *args, **terms):
        return self.admit(*args, **terms).failure().reason

    def test_confirmed_view_refuses_unknown_route_and_key(self):
        found = confirmed_view(10.0)
        unknown = outcomes.Reason.ROUTE_UNKNOWN
        self.assertIs(self.reason(found, 10.5, path='/x'), unknown)
        unknown = outcomes.Reason.KEY_UNKNOWN
        self.assertIs(self.reason(found, 10.5, key='other'), unknown)

    def test_unconfirmed_view_reports_view_stale(self):
        found = confirmed_view(10.0)
        now_s = 10.0 + admission.CONFIRMED_VIEW_AGE_S + 0.1
        self.assertIs(self.reason(found, now_s, path='/x'), VIEW_STALE)
        self.assertIs(self.reason(found, now_s, key='other'), VIEW_STALE)

    def test_unconfirmed_view_admits_known_call(self):
        found = self.admit(confirmed_view(10.0), 60.0)
        self.assertIsInstance(found, result.Success)

    def test_view_without_document_reports_view_stale(self):
        found = view.View(types.Environment.PRODUCTION, 3600.0)
        self.assertIs(self.reason(found, 10.0), VIEW_STALE)
