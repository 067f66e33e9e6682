import unittest

from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.state import accounts
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import fleet

PRODUCTION = types.Environment.PRODUCTION
ACME = ids.AccountId('acme')


class AccountsTests(unittest.TestCase):
    def setUp(self):
        self.sessions = sessions.Sessions()
        self.open_session(fleet.owner())
        self.accounts = accounts.Accounts(self.sessions)
        self.set_burst(burst=1000)
        claim = accounts.ClaimAccount(
            PRODUCTION, ACME, fleet.owner(), 0, 1000.0
        )
        self.accounts.apply(2, claim)
        self.assertEqual(self.floor(), 1000.0)

    def open_session(self, owner):
        opened = sessions.OpenSession(owner, ids.Zone('a'), '127.0.0.1', 1)
        self.sessions.apply(1, opened)

    def claim(self, index, owner):
        row = self.accounts.by_key[PRODUCTION, ACME]
        claim = accounts.ClaimAccount(
            PRODUCTION, ACME, owner, row.epoch, 1000.0
        )
        self.accounts.apply(index, claim)
        return self.accounts.by_key[PRODUCTION, ACME]

    def set_burst(self, burst):
        account = documents.account('acme', burst=burst)
        self.accounts.lower_floors(PRODUCTION, {ACME: account})

    def floor(self):
        return self.accounts.by_key[PRODUCTION, ACME].floor

    def test_lower_burst_lowers_floor(self):
        self.set_burst(burst=300)
        self.assertEqual(self.floor(), 300.0)

    def test_higher_burst_keeps_floor(self):
        self.set_burst(burst=5000)
        self.assertEqual(self.floor(), 1000.0)

    def test_lowers_floor_after_restore(self):
        snapshot = self.accounts.snapshot()
        account = documents.account('acme', burst=300)
        self.accounts.lower_floors(PRODUCTION, {ACME: account})
        self.accounts.restore(snapshot)
        self.accounts.lower_floors(PRODUCTION, {ACME: account})
        self.assertEqual(self.floor(), 300.0)

    def test_later_process_of_vm_marks_previous_one_ended(self):
        later = fleet.owner(incarnation=2)
        self.open_session(later)
        row = self.claim(3, later)
        self.assertEqual(
            (row.holder, row.previous_process_ended), (later, True)
        )

    def test_closed_session_does_not_mark_process_ended(self):
        self.sessions.apply(3, sessions.CloseSession(fleet.owner()))
        other = fleet.owner('vm2')
        self.open_session(other)
        row = self.claim(4, other)
        self.assertEqual(
            (row.holder, row.previous_process_ended), (other, False)
        )
