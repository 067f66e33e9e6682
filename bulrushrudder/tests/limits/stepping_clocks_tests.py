import itertools
import unittest

from bulrushrudder.core import ranking
from bulrushrudder.limits import authority
from bulrushrudder.tests.builders import limits_fleet


class SteppingClocksTests(unittest.TestCase):
    # Guards against processes of a VM that are ordered by its time of day,
    # which has jumped back between their starts.

    def setUp(self):
        self.fleet = limits_fleet.Fleet()
        self.fleet.ask(self.fleet.by_vm['vm0'], 1)
        self.run_for(2.0)
        self.vm = self.row().holder.vm

    def run_for(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.fleet.advance(0.25)
            packets, self.fleet.packets = self.fleet.packets, []
            for packet in packets:
                self.fleet.deliver(packet)

    def row(self):
        key = (limits_fleet.ENVIRONMENT, self.fleet.account)
        return self.fleet.state.accounts.by_key[key]

    def granting(self):
        """Return the VMs that could grant tokens of the account now."""
        fleet = self.fleet
        return [
            vm
            for vm, process in fleet.by_vm.items()
            if process.authority.spendable(
                fleet.account, process.log_view(), fleet.now_s
            )
        ]

    def start_preferred_vm(self):
        """Start a process on a new VM that is preferred for the account."""
        role = authority.role(self.fleet.account)
        vms = tuple(self.fleet.by_vm)
        names = (f'new{number}' for number in itertools.count())
        vm = next(
            name
            for name in names
            if ranking.choose(role, (*vms, name)) == name
        )
        self.fleet.start(vm)

    def test_process_after_step_back_opens_session_at_once(self):
        self.fleet.start(self.vm, -limits_fleet.WRONG_CLOCK_S)
        opened = self.fleet.state.sessions.by_vm[self.vm].owner
        self.assertEqual(opened, self.fleet.by_vm[self.vm].owner)

    def test_process_after_step_back_succeeds_holder_at_once(self):
        self.fleet.start(self.vm, -limits_fleet.WRONG_CLOCK_S)
        restarted = self.fleet.by_vm[self.vm]
        self.run_for(0.25)
        self.fleet.ask(restarted, 1)
        self.run_for(1.25)
        self.assertEqual(self.row().holder, restarted.owner)
        self.assertEqual(len(restarted.charges), 1)

    def test_late_opening_of_earlier_process_lets_no_second_vm_grant(self):
        self.fleet.start(self.vm, limits_fleet.WRONG_CLOCK_S, delayed=True)
        late_opening = self.fleet.packets.pop().content
        self.fleet.start(self.vm)
        live = self.fleet.by_vm[self.vm]
        self.run_for(0.25)
        for _ in range(20):
            self.fleet.ask(live, 5)
        self.run_for(4.0)
        self.assertEqual(self.row().holder, live.owner)
        live.cut = True
        self.fleet.commit(late_opening)
        self.start_preferred_vm()
        self.run_for(0.25)
        self.fleet.ask(self.fleet.by_vm['vm0'], 1)
        for _ in range(10):
            self.run_for(0.25)
            self.assertLessEqual(len(self.granting()), 1, self.granting())
