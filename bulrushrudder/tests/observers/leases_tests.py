import unittest

from bulrushrudder.core import ids
from bulrushrudder.observers import leases
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import fleet

SOON_S = 100.0


class LeasesTests(unittest.TestCase):
    def setUp(self):
        self.leases = leases.Leases()
        self.leases.renew_all(0.0)

    def expired(self, now_s, *owners):
        """Return the owners whose sessions are to be closed."""
        by_vm = {
            owner.vm: sessions.OpenSession(owner, ids.Zone('a'), '', 1)
            for owner in owners
        }
        found = self.leases.expire(by_vm, now_s)
        return [command.owner for command in found]

    def test_a_session_that_was_just_opened_has_a_whole_lease(self):
        later = fleet.owner(incarnation=2)
        self.assertEqual(self.expired(SOON_S, later), [])
        ends_s = SOON_S + leases.SESSION_LEASE_S
        self.assertEqual(self.expired(ends_s, later), [])
        self.assertEqual(self.expired(ends_s + 0.1, later), [later])

    def test_a_sign_of_life_renews_it(self):
        owner = fleet.owner()
        self.expired(1.0, owner)
        self.leases.record_contact(owner, 7, 5.0)
        self.assertEqual(self.expired(10.0, owner), [])
        self.assertEqual(self.expired(11.1, owner), [owner])

    def test_a_new_leader_gives_all_a_whole_lease(self):
        owner = fleet.owner()
        self.expired(1.0, owner)
        self.leases.renew_all(20.0)
        self.assertEqual(self.expired(25.0, owner), [])
        self.assertEqual(self.expired(26.1, owner), [owner])

    def test_a_later_process_has_a_lease_of_its_own(self):
        earlier = fleet.owner()
        self.expired(1.0, earlier)
        later = fleet.owner(incarnation=2)
        self.assertEqual(self.expired(50.0, later), [])
