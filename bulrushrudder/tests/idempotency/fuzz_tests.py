"""Fuzz test of at-most-once calls under shared ids."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushrudder.tests.builders import register_fleet

VMS = st.sampled_from(('vm0', 'vm1'))
KEYS = st.sampled_from(('k1', 'k2', 'k3'))
BODIES = st.sampled_from(('a', 'a', 'a', 'b'))
INDICES = st.integers(0, 1000)


class RegisterMachine(stateful.RuleBasedStateMachine):
    """Random faults; the simulated fleet raises if a call runs twice."""

    def __init__(self):
        super().__init__()
        self.fleet = register_fleet.Fleet()

    def sent(self, state):
        return [
            caller
            for process in self.fleet.by_vm.values()
            for caller in process.callers
            if caller.sent == state and process.alive
        ]

    @stateful.rule(vm=VMS, key=KEYS, body=BODIES)
    def call(self, vm, key, body):
        self.fleet.call(vm, key, body)

    @stateful.rule(key=KEYS)
    def call_on_both_vms(self, key):
        self.fleet.call('vm0', key, 'a')
        self.fleet.call('vm1', key, 'a')

    @stateful.rule(
        vm=VMS,
        key=KEYS,
        end=st.sampled_from(
            ('answer', 'lose', 'fail', 'crash', 'crash running')
        ),
    )
    def call_until_end(self, vm, key, end):
        self.fleet.call(vm, key, 'a')
        self.deliver_all()
        for caller in self.sent(1):
            if end in ('answer', 'lose', 'crash running'):
                self.fleet.run(caller)
            if end == 'answer':
                self.fleet.answer(caller, b'done')
            if end in ('lose', 'fail'):
                self.fleet.fail(caller, ran=end == 'lose')
        if end.startswith('crash'):
            self.fleet.by_vm[vm].alive = False

    @stateful.rule()
    def pass_time(self):
        self.fleet.now_s += 11.0
        self.poll_all()
        self.deliver_all()

    @stateful.rule(vm=VMS, key=KEYS)
    def call_without_log(self, vm, key):
        process = self.fleet.by_vm[vm]
        process.lagging = True
        self.fleet.call(vm, key, 'a')
        self.fleet.now_s += 3.0
        self.fleet.poll(process)
        process.lagging = False

    @stateful.rule(number=st.integers(0, 30))
    def call_under_many_ids(self, number):
        for offset in range(4):
            self.fleet.call('vm0', f'many{number + offset}', 'a')
        self.deliver_all()

    @stateful.rule(index=INDICES, lost=st.booleans())
    def deliver(self, index, lost):
        if self.fleet.proposals:
            index %= len(self.fleet.proposals)
            self.fleet.deliver(index, lost)

    @stateful.rule()
    def deliver_all(self):
        while self.fleet.proposals:
            self.fleet.deliver(0, False)
        self.poll_all()

    @stateful.rule(index=INDICES)
    def duplicate(self, index):
        proposals = self.fleet.proposals
        if proposals:
            proposals.append(proposals[index % len(proposals)])

    @stateful.rule(index=INDICES)
    def drop_proposal(self, index):
        if self.fleet.proposals:
            del self.fleet.proposals[index % len(self.fleet.proposals)]

    @stateful.rule()
    def poll_all(self):
        for process in self.fleet.by_vm.values():
            self.fleet.poll(process)

    @stateful.rule(vm=VMS)
    def poll(self, vm):
        self.fleet.poll(self.fleet.by_vm[vm])

    @stateful.rule(index=INDICES)
    def run(self, index):
        sent = self.sent(1)
        if sent:
            self.fleet.run(sent[index % len(sent)])

    @stateful.rule(index=INDICES, size=st.integers(1, 12))
    def answer(self, index, size):
        sent = self.sent(2)
        if sent:
            self.fleet.answer(sent[index % len(sent)], b'x' * size)

    @stateful.rule(index=INDICES)
    def lose_answer(self, index):
        sent = self.sent(2)
        if sent:
            self.fleet.fail(sent[index % len(sent)], ran=True)

    @stateful.rule(index=INDICES)
    def fail_to_connect(self, index):
        sent = self.sent(1)
        if sent:
            self.fleet.fail(sent[index % len(sent)], ran=False)

    @stateful.rule(vm=VMS, lagging=st.booleans())
    def lag(self, vm, lagging):
        self.fleet.by_vm[vm].lagging = lagging

    @stateful.rule(vm=VMS, runs=st.booleans())
    def crash(self, vm, runs):
        process = self.fleet.by_vm[vm]
        for caller in process.callers:
            if caller.sent == 1 and runs:
                self.fleet.run(caller)
        process.alive = False

    @stateful.rule(vm=VMS)
    def close_session(self, vm):
        self.fleet.close_session(vm)

    @stateful.rule(vm=VMS)
    def restart(self, vm):
        self.fleet.start(vm)

    @stateful.rule(seconds=st.sampled_from((0.1, 0.6, 1.1, 3.0, 11.0, 70.0)))
    def advance(self, seconds):
        self.fleet.now_s += seconds

    @stateful.invariant()
    def refused_calls_do_not_run(self):
        self.fleet.check()


RegisterFuzzTests = RegisterMachine.TestCase
RegisterFuzzTests.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    phases=(hypothesis.Phase.generate,),
    max_examples=200,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
