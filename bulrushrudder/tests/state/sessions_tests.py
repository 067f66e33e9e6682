import unittest

from bulrushrudder.core import ids
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import fleet


def opening(vm, hosts_roles):
    return sessions.OpenSession(
        fleet.owner(vm), ids.Zone('a'), '127.0.0.1', 1, hosts_roles
    )


class HostsTests(unittest.TestCase):
    def setUp(self):
        self.table = sessions.Sessions()
        for index, (vm, hosts_roles) in enumerate(
            [('vm1', False), ('vm2', True), ('vm3', False)]
        ):
            self.table.apply(index + 1, opening(vm, hosts_roles))

    def test_only_vms_that_host_roles_are_hosts(self):
        self.assertEqual(set(self.table.hosts_by_vm), {'vm2'})

    def test_all_vms_are_hosts_if_none_hosts_roles(self):
        self.table.apply(4, sessions.CloseSession(fleet.owner('vm2')))
        self.assertEqual(set(self.table.hosts_by_vm), {'vm1', 'vm3'})

    def test_restored_snapshot_has_same_hosts(self):
        restored = sessions.Sessions()
        restored.restore(self.table.snapshot())
        self.assertEqual(restored.hosts_by_vm, self.table.hosts_by_vm)
