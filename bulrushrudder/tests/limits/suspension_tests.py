import contextlib
import unittest

from bulrushrudder.limits import ledger
from bulrushrudder.tests.builders import clocks
from bulrushrudder.tests.builders import limits_fleet
from bulrushrudder.utils import event_loop

# The holder resumes within its lease, by a clock that stands still, and
# after its successor has begun to grant.
CLAIM_S = 0.5
SUSPENSION_S = CLAIM_S + ledger.TAKEOVER_WAIT_S + 1.5


def measure_lag_s():
    """Return how far a suspension sets the clock of processes back."""
    with contextlib.ExitStack() as stack:
        vm_clocks = clocks.VmClocks(stack)
        loop = event_loop.EventLoop()
        stack.callback(loop.close)
        before_s = loop.time()
        vm_clocks.suspend(SUSPENSION_S)
        return max(0.0, SUSPENSION_S - (loop.time() - before_s))


class SuspendedHolderTests(unittest.TestCase):
    # Guards against tokens that a resumed holder grants beside its successor.

    def setUp(self):
        self.fleet = limits_fleet.Fleet()
        self.fleet.ask(self.fleet.by_vm['vm0'], 1)
        self.run_for(2.0)

    def run_for(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.fleet.advance(0.25)
            packets, self.fleet.packets = self.fleet.packets, []
            for packet in packets:
                self.fleet.deliver(packet)

    def holder(self):
        key = (limits_fleet.ENVIRONMENT, self.fleet.account)
        return self.fleet.by_vm[
            self.fleet.state.accounts.by_key[key].holder.vm
        ]

    def test_resumed_holder_grants_nothing_beside_its_successor(self):
        suspended = self.holder()
        suspended.paused = True
        self.fleet.close_session(suspended.name)
        requester = next(
            process
            for process in self.fleet.by_vm.values()
            if process is not suspended
        )
        self.run_for(CLAIM_S)
        for _ in range(9):
            self.fleet.ask(requester, 10)
        self.run_for(SUSPENSION_S - CLAIM_S)
        self.assertIsNot(self.holder(), suspended)
        self.assertGreater(len(requester.charges), 0)
        suspended.paused = False
        suspended.lag_s = measure_lag_s()
        self.fleet.check()
