import unittest

from bulrushrudder.core import outcomes
from bulrushrudder.limits import events
from bulrushrudder.limits import ledger
from bulrushrudder.protocol import codec
from bulrushrudder.state import machine
from bulrushrudder.tests.builders import limits_fleet

PATIENCE_S = 10.0


class AuthorityTests(unittest.TestCase):
    def setUp(self):
        self.fleet = limits_fleet.Fleet()
        self.ask(1)

    def flow(self, seconds=1.0):
        for _ in range(int(seconds / 0.25)):
            self.fleet.advance(0.25)
            packets, self.fleet.packets = self.fleet.packets, []
            for packet in packets:
                self.fleet.deliver(packet)
        self.fleet.check()

    def holder(self):
        key = (limits_fleet.ENVIRONMENT, self.fleet.account)
        return self.fleet.state.accounts.by_key[key].holder.vm

    def ask(self, tokens, vm='vm0', seconds=2.0):
        process = self.fleet.by_vm[vm]
        before = len(process.charges)
        self.fleet.ask(process, tokens, PATIENCE_S)
        self.flow(seconds)
        return len(process.charges) - before

    def other(self, vm):
        return next(other for other in self.fleet.by_vm if other != vm)

    def test_request_waits_for_the_successor_of_a_lost_holder(self):
        lost = self.holder()
        asker = self.other(lost)
        self.fleet.by_vm[lost].cut = True
        self.fleet.close_session(lost)
        self.flow(0.5)
        self.assertEqual(self.ask(20, asker, ledger.TAKEOVER_WAIT_S - 1), 0)
        before = len(self.fleet.by_vm[asker].charges)
        self.flow(2.0)
        self.assertEqual(len(self.fleet.by_vm[asker].charges), before + 1)
        self.assertEqual(self.fleet.refused, [])

    def test_released_account_is_taken_over_without_a_wait(self):
        old = self.holder()
        process = self.fleet.by_vm[old]
        self.fleet.handle(process, events.Stopping())
        self.flow(0.5)
        self.fleet.close_session(old)
        self.flow(0.5)
        self.assertEqual(self.ask(20, self.other(old), 1.5), 1)

    def test_a_holder_that_has_started_anew_waits_for_no_lease(self):
        holder = self.holder()
        self.fleet.start(holder)
        self.flow(0.5)
        self.assertEqual(self.ask(20, self.other(holder), 1.0), 1)

    def test_above_the_burst_is_refused_at_once(self):
        self.ask(101, seconds=0.5)
        reasons = [refused.reason for refused in self.fleet.refused]
        self.assertEqual(reasons, [outcomes.Reason.COST_ABOVE_BURST])

    def test_new_process_after_hundreds_of_changes(self):
        for number in range(300):
            self.fleet.set_limits(10.0, 100 + number % 2)
        self.fleet.start(self.holder())
        self.flow(8.0)
        self.assertEqual(self.ask(50, 'vm1', 4.0), 1)

    def test_state_of_a_snapshot_takes_the_same_commands(self):
        self.ask(60)
        restored = machine.State()
        data = codec.encode(self.fleet.state.snapshot())
        restored.restore(codec.decode(data).unwrap())
        self.fleet.set_limits(10.0, 40)
        command = self.fleet.commands[-1]
        restored.apply(len(self.fleet.commands), command)
        self.assertEqual(restored.snapshot(), self.fleet.state.snapshot())
