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


class TrackerFleet:
    """The orphan trackers of all VMs, which read the same log.

    :param vms: VMs that have a session from the beginning.
    """

    def __init__(self, vms=VMS):
        self.by_vm = {vm: orphans.Orphans(vm) for vm in VMS}
        self.owners_by_vm = {vm: fleet.owner(vm) for vm in vms}
        self.index = 0
        self.now_s = 0.0
        self.requested = []
        self.read_sessions()

    def read_sessions(self):
        """Have every live VM read the open sessions."""
        self.index += 1
        self.advance(0.0)

    def advance(self, seconds):
        self.now_s += seconds
        for vm in self.owners_by_vm:
            seen = orphans.SessionsSeen(self.index, dict(self.owners_by_vm))
            found = self.by_vm[vm].handle(seen, servers(), self.now_s)
            self.requested += [(vm, requested) for requested in found]

    def settle(self, vm='vm3'):
        """Send all due orders; return those about attempts of a VM."""
        for _ in range(200):
            self.advance(0.1)
        found, self.requested = self.requested, []
        return [
            (by, request) for by, request in found if request.target.vm == vm
        ]


class OrphansTests(unittest.TestCase):
    def setUp(self):
        self.trackers = TrackerFleet()
        self.trackers.settle()

    def test_notifies_each_server_once_when_entry_dies(self):
        del self.trackers.owners_by_vm['vm3']
        self.trackers.read_sessions()
        found = self.trackers.settle()
        notified = sorted(requested.server.id for _, requested in found)
        self.assertEqual(notified, sorted(set(servers()) - {'portal'}))
        targets = {requested.target for _, requested in found}
        self.assertEqual(targets, {fleet.owner('vm3')})
        self.assertGreater(len({vm for vm, _ in found}), 4)

    def test_cancels_earlier_run_of_restarted_entry(self):
        self.trackers.owners_by_vm['vm3'] = fleet.owner('vm3', 7)
        self.trackers.read_sessions()
        found = self.trackers.settle()
        self.assertEqual(len(found), SERVERS)
        self.assertTrue(
            all(request.target.incarnation < 7 for _, request in found)
        )

    def test_cancels_again_when_returned_entry_is_lost_again(self):
        owner = self.trackers.owners_by_vm.pop('vm3')
        self.trackers.read_sessions()
        self.trackers.settle()
        self.trackers.owners_by_vm['vm3'] = owner
        self.trackers.read_sessions()
        self.assertNotIn(
            owner, [request.target for _, request in self.trackers.settle()]
        )
        del self.trackers.owners_by_vm['vm3']
        self.trackers.read_sessions()
        targets = [request.target for _, request in self.trackers.settle()]
        self.assertEqual(targets, [owner] * SERVERS)

    def test_lone_starting_entry_cancels_its_earlier_runs(self):
        alone = orphans.Orphans('vm1')
        seen = orphans.SessionsSeen(5, {'vm1': fleet.owner('vm1', 9)})
        found = []
        for step in range(200):
            found += alone.handle(seen, servers(), step * 0.1)
        self.assertEqual(len(found), SERVERS)
        self.assertEqual(found[0].target, fleet.owner('vm1', 8))

    def test_live_peers_take_over_orders_of_dead_peer(self):
        del self.trackers.owners_by_vm['vm3']
        self.trackers.read_sessions()
        first = {
            request.server.id
            for vm, request in self.trackers.requested
            if vm != 'vm5'
        }
        self.trackers.requested.clear()
        del self.trackers.owners_by_vm['vm5']
        self.trackers.read_sessions()
        later = {request.server.id for _, request in self.trackers.settle()}
        self.assertEqual(first | later, set(servers()) - {'portal'})

    def test_orders_for_dead_entry_do_not_wait_for_those_of_starts(self):
        """Orders of starts, 40 servers at 4 a second, take 10 s."""
        starting = TrackerFleet(vms=())
        for vm in VMS[:3]:
            starting.owners_by_vm[vm] = fleet.owner(vm)
            starting.read_sessions()
        del starting.owners_by_vm['vm3']
        starting.read_sessions()
        share = SERVERS / 2 / orphans.ORDERS_PER_S
        for _ in range(int((share + 2.0) * 10)):
            starting.advance(0.1)
        notified = {
            requested.server.id
            for _, requested in starting.requested
            if requested.target == fleet.owner('vm3')
        }
        self.assertEqual(len(notified), SERVERS)

    def test_limits_rate_of_orders(self):
        del self.trackers.owners_by_vm['vm3']
        alone = {'vm1': fleet.owner('vm1')}
        self.trackers.owners_by_vm = alone
        self.trackers.read_sessions()
        self.trackers.requested.clear()
        for _ in range(50):
            self.trackers.advance(0.1)
        max_orders = 5 * orphans.ORDERS_PER_S + orphans.ORDERS_PER_S
        self.assertLessEqual(len(self.trackers.requested), max_orders)


class CancellationsTests(unittest.TestCase):
    def test_retries_unannounced_server_until_timeout(self):
        tracker = cancellations.Cancellations()
        server = fleet.server('d1')
        requested = cancellations.CancelRequested(server, 'attempt')
        sent = tracker.handle(requested, {}, 0.0)
        self.assertEqual(len(sent), 1)
        failed = cancellations.CancelFailed(server.id)
        tracker.handle(failed, {}, 1.0)
        again = tracker.handle(cancellations.Ticked(), {}, 2.0)
        self.assertEqual(again, sent)
        tracker.handle(failed, {}, 3.0)
        late_s = 2.0 + cancellations.UNREACHABLE_TIMEOUT_S
        tracker.handle(cancellations.Ticked(), {}, late_s)
        self.assertEqual(tracker.pending, 0)

    def test_sends_one_order_at_a_time_to_unreachable_server(self):
        tracker = cancellations.Cancellations()
        server = fleet.server('d1')
        by_id = {server.id: server}
        sent = []
        for number in range(50):
            requested = cancellations.CancelRequested(
                server, f'attempt {number}'
            )
            sent += tracker.handle(requested, by_id, 0.0)
        self.assertEqual(len(sent), 1)
        failed = cancellations.CancelFailed(server.id)
        tracker.handle(failed, by_id, 0.0)
        later = tracker.handle(cancellations.Ticked(), by_id, 1.0)
        self.assertEqual(len(later[0].targets), 50)
