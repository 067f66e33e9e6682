import unittest

from bulrushrudder.core import outcomes
from bulrushrudder.core import ranking
from bulrushrudder.limits import authority
from bulrushrudder.limits import events
from bulrushrudder.limits import ledger
from bulrushrudder.protocol import codec
from bulrushrudder.state import machine
from bulrushrudder.tests.builders import limits_fleet

PATIENCE_S = 10.0
STEP_S = 0.05
# A stop has to refuse in this time what it cannot serve.
HANDOVER_S = 0.5


class AuthorityTests(unittest.TestCase):
    def setUp(self):
        self.fleet = limits_fleet.Fleet()
        self.ask(1)

    def run_for(self, seconds=1.0, step_s=0.25):
        for _ in range(round(seconds / step_s)):
            self.step(step_s)
        self.fleet.check()

    def step(self, step_s):
        """Advance and deliver all packets, without looking at accounts."""
        self.fleet.advance(step_s, step_s)
        packets, self.fleet.packets = self.fleet.packets, []
        for packet in packets:
            self.fleet.deliver(packet)

    def seconds_until_granted(self, tokens, vm):
        """Ask for tokens, again while redirected, until they are granted."""
        process = self.fleet.by_vm[vm]
        before = len(process.charges)
        asked_s = self.fleet.now_s
        while len(process.charges) == before:
            self.assertLess(self.fleet.now_s - asked_s, PATIENCE_S)
            self.fleet.ask(process, tokens, PATIENCE_S)
            self.step(STEP_S)
        self.fleet.check()
        return self.fleet.now_s - asked_s

    def holder(self):
        key = (limits_fleet.ENVIRONMENT, self.fleet.account)
        return self.fleet.state.accounts.by_key[key].holder.vm

    def ask(self, tokens, vm='vm0', seconds=2.0):
        process = self.fleet.by_vm[vm]
        before = len(process.charges)
        self.fleet.ask(process, tokens, PATIENCE_S)
        self.run_for(seconds)
        return len(process.charges) - before

    def other(self, vm):
        return next(other for other in self.fleet.by_vm if other != vm)

    def test_request_waits_for_takeover_from_lost_holder(self):
        lost = self.holder()
        requester = self.other(lost)
        self.fleet.by_vm[lost].cut = True
        self.fleet.close_session(lost)
        self.run_for(0.5)
        self.assertEqual(
            self.ask(20, requester, ledger.TAKEOVER_WAIT_S - 1), 0
        )
        before = len(self.fleet.by_vm[requester].charges)
        self.run_for(2.0)
        self.assertEqual(len(self.fleet.by_vm[requester].charges), before + 1)
        self.assertEqual(self.fleet.refused, [])

    def test_released_account_is_taken_over_at_once(self):
        holder = self.holder()
        process = self.fleet.by_vm[holder]
        self.fleet.handle(process, events.Stopping())
        self.run_for(0.5)
        self.fleet.close_session(holder)
        self.run_for(0.5)
        self.assertEqual(self.ask(20, self.other(holder), 1.5), 1)

    def test_leaving_holder_hands_over_before_it_stops(self):
        for since_sweep_s in (0.1, 0.3, 0.5, 0.7, 0.9):
            with self.subTest(since_sweep_s=since_sweep_s):
                self.setUp()
                self.run_for(since_sweep_s, STEP_S)
                holder = self.holder()
                self.fleet.leave(holder)
                taken_s = self.seconds_until_granted(1, self.other(holder))
                self.assertLessEqual(taken_s, HANDOVER_S)

    def test_account_claimed_ahead_is_handed_over_before_its_first_use(self):
        self.fleet = limits_fleet.Fleet(vms=1, max_preclaimed=1)
        self.step(STEP_S)
        self.assertEqual(self.holder(), 'vm0')
        names = ['vm0', *(f'vm{number}' for number in range(1, 9))]
        role = authority.role(self.fleet.account)
        preferred = ranking.choose(role, names)
        self.assertNotEqual(preferred, 'vm0')
        self.fleet.start(preferred)
        taken_s = self.seconds_until_granted(1, preferred)
        self.assertLessEqual(taken_s, HANDOVER_S)

    def test_restarted_holder_is_succeeded_at_once(self):
        holder = self.holder()
        self.fleet.start(holder)
        self.run_for(0.5)
        self.assertEqual(self.ask(20, self.other(holder), 1.0), 1)

    def test_refuses_request_above_burst_at_once(self):
        self.ask(101, seconds=0.5)
        reasons = [refused.reason for refused in self.fleet.refused]
        self.assertEqual(reasons, [outcomes.Reason.COST_ABOVE_BURST])

    def test_new_process_grants_after_hundreds_of_limit_changes(self):
        for number in range(300):
            self.fleet.set_limits(10.0, 100 + number % 2)
        self.fleet.start(self.holder())
        self.run_for(8.0)
        self.assertEqual(self.ask(50, 'vm1', 4.0), 1)

    def test_restored_snapshot_applies_commands_as_original(self):
        self.ask(60)
        restored = machine.State()
        data = codec.encode(self.fleet.state.snapshot())
        restored.restore(codec.decode(data).unwrap())
        self.fleet.set_limits(10.0, 40)
        command = self.fleet.commands[-1]
        restored.apply(len(self.fleet.commands), command)
        self.assertEqual(restored.snapshot(), self.fleet.state.snapshot())
