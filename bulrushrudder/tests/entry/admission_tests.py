import unittest

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.documents import types
from bulrushrudder.entry import admission
from bulrushrudder.observers import view
from bulrushrudder.platform import configuration
from bulrushrudder.state import documents
from bulrushrudder.tests.builders import platform as builders

STALE = outcomes.Reason.VIEW_STALE


def observed(*vouched_s):
    """Return a View that holds a document and was vouched for."""
    found = view.View(types.Environment.PRODUCTION, 3600.0)
    document = configuration.read(
        builders.encoded(builders.CONFIGURATION)
    ).unwrap()
    command = documents.AdoptDocument(document, b'{}', 'digest', 'test')
    found.apply(1, command)
    for now_s in vouched_s:
        found.confirm_round(found.begin_round(now_s), 1)
    return found


class DoubtTests(unittest.TestCase):
    def admit(self, found, now_s, path='/drafts/1', key='acme-key'):
        return admission.admit(
            found, now_s, False, 'POST', path, key, 'one.example'
        )

    def reason(self, *args, **terms):
        return self.admit(*args, **terms).failure().reason

    def test_a_current_view_refuses_for_good(self):
        found = observed(10.0)
        unknown = outcomes.Reason.ROUTE_UNKNOWN
        self.assertIs(self.reason(found, 10.5, path='/x'), unknown)
        unknown = outcomes.Reason.KEY_UNKNOWN
        self.assertIs(self.reason(found, 10.5, key='other'), unknown)

    def test_an_older_one_says_that_it_may_be_older(self):
        found = observed(10.0)
        now_s = 10.0 + admission.DOUBT_S + 0.1
        self.assertIs(self.reason(found, now_s, path='/x'), STALE)
        self.assertIs(self.reason(found, now_s, key='other'), STALE)

    def test_what_it_knows_it_admits_all_the_same(self):
        found = self.admit(observed(10.0), 60.0)
        self.assertIsInstance(found, result.Success)

    def test_without_a_document_nothing_is_unknown(self):
        found = view.View(types.Environment.PRODUCTION, 3600.0)
        self.assertIs(self.reason(found, 10.0), STALE)
