"""Property tests of grants under faults, against one token bucket."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushrudder.limits import events
from bulrushrudder.tests.builders import limits_fleet

VMS = st.sampled_from(('vm0', 'vm1', 'vm2'))
POSITIONS = st.integers(0, 1000)


class LimitsMachine(stateful.RuleBasedStateMachine):
    """A fleet whose oracle raises if it grants more than one bucket."""

    def __init__(self):
        super().__init__()
        self.fleet = limits_fleet.Fleet()

    def process(self, vm):
        return self.fleet.by_vm[vm]

    def pick_packet(self, position):
        packets = self.fleet.packets
        return position % len(packets) if packets else None

    def holder(self):
        """Return the process that the log names as the holder."""
        fleet = self.fleet
        key = (limits_fleet.ENVIRONMENT, fleet.account)
        row = fleet.state.accounts.by_key.get(key)
        return fleet.by_vm[row.holder.vm if row else 'vm0']

    @stateful.rule(vm=VMS, tokens=st.integers(5, 60), count=st.integers(1, 9))
    def ask(self, vm, tokens, count):
        for _ in range(count):
            self.fleet.ask(self.process(vm), tokens)

    @stateful.rule(vm=VMS, tokens=st.integers(3, 40))
    def drain(self, vm, tokens):
        for _ in range(12):
            self.fleet.ask(self.process(vm), tokens)
            self.deliver_all(1)

    @stateful.rule(vm=VMS)
    def ask_often(self, vm):
        for _ in range(14):
            self.fleet.ask(self.process(vm), 1)
            self.deliver_all(1)

    @stateful.rule(vm=VMS)
    def spend_slice(self, vm):
        for tokens in (16, 8, 4, 2, 1) * 4:
            process = self.process(vm)
            if process.slices.left(self.fleet.account, self.fleet.now_s):
                self.fleet.ask(process, tokens)

    @stateful.rule(
        kind=st.sampled_from(('pause', 'cut', 'close', 'restart', 'stop')),
        seconds=st.sampled_from((0.0, 1.0, 3.0, 4.0)),
    )
    def lose_holder(self, kind, seconds):
        fleet = self.fleet
        process = self.holder()
        if kind in ('pause', 'cut'):
            fleet.begin_round(process)
            process.paused = kind == 'pause'
            process.cut = kind == 'cut'
        if kind == 'restart':
            fleet.start(process.name)
        if kind == 'stop':
            fleet.handle(process, events.Stopping())
            self.deliver_all(1)
        if kind != 'restart':
            fleet.close_session(process.name)
        for _ in range(int(seconds * 2)):
            fleet.advance(0.5)
            self.deliver_all(1)

    @stateful.rule(
        vm=VMS,
        wrong_s=st.sampled_from((-8, 0, 8)),
        delayed=st.booleans(),
    )
    def restart_with_wrong_clock(self, vm, wrong_s, delayed):
        self.fleet.start(vm, wrong_s, delayed)

    @stateful.rule(vm=VMS)
    def crash_while_starting(self, vm):
        self.fleet.start(vm, 8, delayed=True)
        self.fleet.start(vm, -8)

    @stateful.rule()
    def recover(self):
        for process in tuple(self.fleet.by_vm.values()):
            process.cut = False
            process.paused = False
            self.fleet.handle(process, events.Ticked())
            if process.name not in self.fleet.state.sessions.by_vm:
                self.fleet.start(process.name)

    @stateful.rule(seconds=st.sampled_from((0.1, 0.5, 2.0, 4.0, 8.0, 20.0)))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(seconds=st.sampled_from((0.5, 2.0, 4.0, 8.0)))
    def advance_without_faults(self, seconds):
        for _ in range(int(seconds * 2)):
            self.fleet.advance(0.5)
            self.deliver_all(1)

    @stateful.rule(rounds=st.integers(1, 3))
    def deliver_all(self, rounds):
        for _ in range(rounds):
            packets, self.fleet.packets = self.fleet.packets, []
            for packet in packets:
                self.fleet.deliver(packet)
            for process in self.fleet.by_vm.values():
                self.fleet.sync(process)
                self.fleet.tick(process)

    @stateful.rule(position=POSITIONS)
    def deliver(self, position):
        packet_index = self.pick_packet(position)
        if packet_index is not None:
            self.fleet.deliver(self.fleet.packets.pop(packet_index))

    @stateful.rule(position=POSITIONS)
    def duplicate(self, position):
        packet_index = self.pick_packet(position)
        if packet_index is not None:
            self.fleet.packets.append(self.fleet.packets[packet_index])

    @stateful.rule(position=POSITIONS)
    def drop(self, position):
        packet_index = self.pick_packet(position)
        if packet_index is not None:
            del self.fleet.packets[packet_index]

    @stateful.rule(vm=VMS, position=POSITIONS)
    def resend(self, vm, position):
        requests = list(self.process(vm).pending_requests.values())
        if requests:
            self.fleet.send_to_authority(
                self.process(vm), requests[position % len(requests)][0]
            )

    @stateful.rule(vm=VMS, position=POSITIONS)
    def withdraw(self, vm, position):
        requests = list(self.process(vm).pending_requests)
        if requests:
            self.fleet.withdraw(
                self.process(vm), requests[position % len(requests)]
            )

    @stateful.rule(vm=VMS, position=POSITIONS, share=st.floats(0, 1))
    def refund(self, vm, position, share):
        charges = self.process(vm).charges
        if charges:
            charge = charges[position % len(charges)]
            self.fleet.refund(
                self.process(vm), charge, int(charge.tokens * share)
            )

    @stateful.rule(vm=VMS)
    def resume(self, vm):
        process = self.process(vm)
        process.paused = False
        self.fleet.handle(process, events.Ticked())
        self.fleet.end_round(process)
        self.fleet.tick(process)

    @stateful.rule(vm=VMS)
    def reopen_session(self, vm):
        self.fleet.close_session(vm)
        self.fleet.open_session(vm)

    @stateful.rule(
        rate=st.sampled_from((5.0, 10.0, 20.0)),
        burst=st.sampled_from((40, 100, 200)),
    )
    def change_limits(self, rate, burst):
        self.fleet.set_limits(rate, burst)

    @stateful.invariant()
    def fleet_stays_within_limit(self):
        self.fleet.check()


LimitsFuzzTests = LimitsMachine.TestCase
LimitsFuzzTests.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    phases=(hypothesis.Phase.generate,),
    max_examples=150,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
