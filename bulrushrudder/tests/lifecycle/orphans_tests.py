import unittest

from bulrushrudder.lifecycle import cancellations
from bulrushrudder.lifecycle import orphans
from bulrushrudder.tests.builders import fleet

SERVERS = 40
VMS = tuple(f'vm{number}' for number in range(1, 9))


def servers():
    found = [fleet.server(f'd{number}') for number in range(SERVERS)]
    found.append(fleet.server('portal', 'service'))
    return {server.id: server for server in found}


class Watchers:
    """The trackers of all VMs, which see the same log."""

    def __init__(self):
        self.by_vm = {vm: orphans.Orphans(vm) for vm in VMS}
        self.owners_by_vm = {vm: fleet.owner(vm) for vm in VMS}
        self.index = 0
        self.now_s = 0.0
        self.wanted = []
        self.see()

    def see(self):
        """Let every live VM see the sessions that are open now."""
        self.index += 1
        self.pass_time(0.0)

    def pass_time(self, seconds):
        self.now_s += seconds
        for vm in self.owners_by_vm:
            seen = orphans.SessionsSeen(self.index, dict(self.owners_by_vm))
            found = self.by_vm[vm].handle(seen, servers(), self.now_s)
            self.wanted += [(vm, wanted) for wanted in found]

    def settle(self, vm='vm3'):
        """Let all be sent and return what concerns a VM's attempts."""
        for _ in range(200):
            self.pass_time(0.1)
        found, self.wanted = self.wanted, []
        return [(by, w) for by, w in found if w.target.vm == vm]


class OrphansTests(unittest.TestCase):
    def setUp(self):
        self.watchers = Watchers()
        self.watchers.settle()

    def test_each_server_is_told_once_when_an_entry_dies(self):
        del self.watchers.owners_by_vm['vm3']
        self.watchers.see()
        found = self.watchers.settle()
        told = sorted(wanted.server.id for _, wanted in found)
        self.assertEqual(told, sorted(set(servers()) - {'portal'}))
        targets = {wanted.target for _, wanted in found}
        self.assertEqual(targets, {fleet.owner('vm3')})
        self.assertGreater(len({vm for vm, _ in found}), 4)

    def test_a_restarted_entry_leaves_orphans_of_its_earlier_run(self):
        self.watchers.owners_by_vm['vm3'] = fleet.owner('vm3', 7)
        self.watchers.see()
        found = self.watchers.settle()
        self.assertEqual(len(found), SERVERS)
        self.assertTrue(all(w.target.incarnation < 7 for _, w in found))

    def test_an_entry_that_is_heard_again_can_be_lost_again(self):
        owner = self.watchers.owners_by_vm.pop('vm3')
        self.watchers.see()
        self.watchers.settle()
        self.watchers.owners_by_vm['vm3'] = owner
        self.watchers.see()
        self.assertNotIn(owner, [w.target for _, w in self.watchers.settle()])
        del self.watchers.owners_by_vm['vm3']
        self.watchers.see()
        targets = [w.target for _, w in self.watchers.settle()]
        self.assertEqual(targets, [owner] * SERVERS)

    def test_an_entry_that_starts_alone_cancels_its_earlier_runs(self):
        alone = orphans.Orphans('vm1')
        seen = orphans.SessionsSeen(5, {'vm1': fleet.owner('vm1', 9)})
        found = []
        for step in range(200):
            found += alone.handle(seen, servers(), step * 0.1)
        self.assertEqual(len(found), SERVERS)
        self.assertEqual(found[0].target, fleet.owner('vm1', 8))

    def test_orders_of_a_dead_peer_are_taken_over(self):
        del self.watchers.owners_by_vm['vm3']
        self.watchers.see()
        first = {w.server.id for vm, w in self.watchers.wanted if vm != 'vm5'}
        self.watchers.wanted.clear()
        del self.watchers.owners_by_vm['vm5']
        self.watchers.see()
        later = {w.server.id for _, w in self.watchers.settle()}
        self.assertEqual(first | later, set(servers()) - {'portal'})

    def test_orders_are_paced(self):
        del self.watchers.owners_by_vm['vm3']
        alone = {'vm1': fleet.owner('vm1')}
        self.watchers.owners_by_vm = alone
        self.watchers.see()
        self.watchers.wanted.clear()
        for _ in range(50):
            self.watchers.pass_time(0.1)
        most = 5 * orphans.ORDERS_PER_S + orphans.ORDERS_PER_S
        self.assertLessEqual(len(self.watchers.wanted), most)


class CancellationsTests(unittest.TestCase):
    def test_a_draining_server_is_told_until_it_is_gone(self):
        tracker = cancellations.Cancellations()
        server = fleet.server('d1')
        wanted = cancellations.CancelRequested(server, 'attempt')
        sent = tracker.handle(wanted, {}, 0.0)
        self.assertEqual(len(sent), 1)
        failed = cancellations.CancelFailed(server.id)
        tracker.handle(failed, {}, 1.0)
        again = tracker.handle(cancellations.Ticked(), {}, 2.0)
        self.assertEqual(again, sent)
        tracker.handle(failed, {}, 3.0)
        late_s = 2.0 + cancellations.UNREACHABLE_TIMEOUT_S
        tracker.handle(cancellations.Ticked(), {}, late_s)
        self.assertEqual(tracker.pending, 0)

    def test_one_order_at_a_time_to_an_unreachable_server(self):
        tracker = cancellations.Cancellations()
        server = fleet.server('d1')
        by_id = {server.id: server}
        sent = []
        for number in range(50):
            wanted = cancellations.CancelRequested(server, f'attempt {number}')
            sent += tracker.handle(wanted, by_id, 0.0)
        self.assertEqual(len(sent), 1)
        failed = cancellations.CancelFailed(server.id)
        tracker.handle(failed, by_id, 0.0)
        later = tracker.handle(cancellations.Ticked(), by_id, 1.0)
        self.assertEqual(len(later[0].targets), 50)
