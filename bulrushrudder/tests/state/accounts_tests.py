import unittest

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.state import accounts
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import fleet

PRODUCTION = types.Environment.PRODUCTION
ACME = ids.AccountId('acme')


class LimitTests(unittest.TestCase):
    def setUp(self):
        table = sessions.Sessions()
        opened = sessions.OpenSession(
            fleet.owner(), ids.Zone('a'), '127.0.0.1', 1
        )
        table.apply(1, opened)
        self.accounts = accounts.Accounts(table)
        self.limit(burst=1000)
        claim = accounts.ClaimAccount(
            PRODUCTION, ACME, fleet.owner(), 0, 1000.0
        )
        self.accounts.apply(2, claim)
        self.assertEqual(self.floor(), 1000.0)

    def limit(self, burst):
        held = documents.account('acme', burst=burst)
        self.accounts.limit(PRODUCTION, {ACME: held})

    def floor(self):
        return self.accounts.by_key[PRODUCTION, ACME].floor

    def test_a_lower_burst_lowers_the_floor(self):
        self.limit(burst=300)
        self.assertEqual(self.floor(), 300.0)

    def test_a_higher_burst_gives_nothing(self):
        self.limit(burst=5000)
        self.assertEqual(self.floor(), 1000.0)

    def test_a_restored_floor_is_lowered_too(self):
        snapshot = self.accounts.snapshot()
        held = documents.account('acme', burst=300)
        self.accounts.limit(PRODUCTION, {ACME: held})
        self.accounts.restore(snapshot)
        self.accounts.limit(PRODUCTION, {ACME: held})
        self.assertEqual(self.floor(), 300.0)
