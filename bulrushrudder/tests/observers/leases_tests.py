import unittest

from bulrushrudder.core import ids
from bulrushrudder.observers import leases
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import fleet

OPENED_S = 100.0


class LeasesTests(unittest.TestCase):
    def setUp(self):
        self.leases = leases.Leases()
        self.leases.renew_all(0.0)

    def expired(self, now_s, *owners):
        """Return the owners of sessions whose lease has expired."""
        by_vm = {
            owner.vm: sessions.OpenSession(owner, ids.Zone('a'), '', 1)
            for owner in owners
        }
        commands = self.leases.expire(by_vm, now_s)
        return [command.owner for command in commands]

    def test_new_session_has_full_lease(self):
        later = fleet.owner(incarnation=2)
        self.assertEqual(self.expired(OPENED_S, later), [])
        ends_s = OPENED_S + leases.SESSION_LEASE_S
        self.assertEqual(self.expired(ends_s, later), [])
        self.assertEqual(self.expired(ends_s + 0.1, later), [later])

    def test_contact_renews_lease(self):
        owner = fleet.owner()
        self.expired(1.0, owner)
        self.leases.record_contact(owner, 7, 5.0)
        self.assertEqual(self.expired(10.0, owner), [])
        self.assertEqual(self.expired(11.1, owner), [owner])

    def test_new_leader_renews_all_leases(self):
        owner = fleet.owner()
        self.expired(1.0, owner)
        self.leases.renew_all(20.0)
        self.assertEqual(self.expired(25.0, owner), [])
        self.assertEqual(self.expired(26.1, owner), [owner])

    def test_later_incarnation_has_separate_lease(self):
        earlier = fleet.owner()
        self.expired(1.0, earlier)
        later = fleet.owner(incarnation=2)
        self.assertEqual(self.expired(50.0, later), [])
