import os
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushrudder.consensus import core
from bulrushrudder.consensus import events
from bulrushrudder.tests.builders import cluster

EXAMPLES = int(os.environ.get('BULRUSHRUDDER_FUZZ_EXAMPLES', '60'))
STEPS = 30
HOUR_S = 3600.0
STORM_STEPS = 40
TRANSFER_TIMEOUT_S = 0.5
WIPE_PROBABILITY = 0.3
RECOVERY_TIMEOUT_S = 30.0

POSITIONS = st.integers(0, 4)
CRASHES = st.sampled_from([None, *cluster.Crash])
SHORT_DURATIONS_S = st.sampled_from([0.05, 0.1, 0.3, 1.0, 3.0])


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Members of a cluster under random interleavings of faults.

    The cluster checks each step against its oracle.
    """

    def __init__(self):
        super().__init__()
        self.cluster = None
        self.proposed = 0

    @stateful.initialize(
        seed=st.integers(0, 2**32),
        size=st.sampled_from([1, 3, 3, 5]),
        first_run_s=st.sampled_from([0.1, 3.0, 3.0]),
        storms=st.integers(1, 5),
    )
    def found(self, seed, size, first_run_s, storms):
        self.cluster = cluster.Cluster('abcde'[:size], seed)
        self.cluster.run(first_run_s)
        for number in range(storms):
            self.storm(seed + number)

    @stateful.rule(seconds=SHORT_DURATIONS_S)
    def run_on(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(position=POSITIONS, count=st.integers(1, 4))
    def propose(self, position, count):
        address = self._leaders_or_any(position)
        for _ in range(count if address else 0):
            self.proposed += 1
            self.cluster.propose(address, str(self.proposed).encode())
        self.cluster.run(0.1)

    @stateful.rule(position=POSITIONS)
    def confirm(self, position):
        address = self._leaders_or_any(position)
        if address:
            self.cluster.request_read_index(address)

    @stateful.rule(position=POSITIONS, crash=CRASHES)
    def crash(self, position, crash):
        process = self._process(position)
        if process is None:
            return
        if crash is None:
            self.cluster.kill(self._address(position))
        else:
            process.crash = crash

    @stateful.rule(crash=CRASHES)
    def crash_leader(self, crash):
        for address in self.cluster.leaders():
            if crash is None:
                self.cluster.kill(address)
            else:
                self.cluster.processes_by_address[address].crash = crash

    @stateful.rule(position=POSITIONS)
    def restart(self, position):
        address = self._address(position)
        if self._process(position) is None:
            self.cluster.start(address)

    @stateful.rule(position=POSITIONS, restarts=st.booleans())
    def wipe(self, position, restarts):
        address = self._address(position)
        if not self.cluster.may_wipe(address):
            return
        self.cluster.wipe(address)
        if restarts:
            self.cluster.start(address)

    @stateful.rule(position=POSITIONS)
    def replace_vm(self, position):
        """Replace a VM by one at a new address, with new settings."""
        address = self._address(position)
        if not self.cluster.may_wipe(address):
            return
        self.cluster.wipe(address)
        new_address = f'{address}+'
        self.cluster.addresses = tuple(
            new_address if a == address else a for a in self.cluster.addresses
        )
        self._restart_with_settings()

    @stateful.rule()
    def grow(self):
        if len(self.cluster.addresses) < 5:
            new_address = 'vwxyz'[len(self.cluster.addresses)]
            self.cluster.addresses = (*self.cluster.addresses, new_address)
            self._restart_with_settings()

    @stateful.rule(one=POSITIONS, other=POSITIONS)
    def block_one_way(self, one, other):
        pair = (self._address(one), self._address(other))
        self.cluster.blocked.add(pair)

    @stateful.rule(position=POSITIONS, seconds=st.sampled_from([3.0, HOUR_S]))
    def isolate(self, position, seconds):
        """Isolate a member for seconds or an hour, then reconnect it."""
        address = self._address(position)
        blocked_before = set(self.cluster.blocked)
        self._partition(address)
        self.cluster.run(3.0)
        self.cluster.now_s += seconds - 3.0
        self.cluster.run(1.0)
        self.cluster.blocked = blocked_before

    @stateful.rule()
    def mend_network(self):
        self.cluster.blocked = set()

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.01, 0.2, 2.0]),
    )
    def change_network(self, loss, duplication, delay_s):
        self.cluster.loss = loss
        self.cluster.duplication = duplication
        self.cluster.delay_s = delay_s

    @stateful.rule(
        position=POSITIONS, seconds=st.sampled_from([0.5, 5.0, HOUR_S])
    )
    def jump_clock(self, position, seconds):
        process = self._process(position)
        if process:
            process.offset_s += seconds

    @stateful.rule(position=POSITIONS)
    def save_state(self, position):
        if self._process(position):
            self.cluster.take_snapshot(self._address(position))

    @stateful.rule()
    def shut_down_leader(self):
        leaders = self.cluster.leaders()
        for address in leaders:
            process = self.cluster.processes_by_address[address]
            process.inbox.append(events.StopRequested())
        self.cluster.run(TRANSFER_TIMEOUT_S)
        for address in leaders:
            self.cluster.kill(address)

    @stateful.rule(seed=st.integers(0, 2**32))
    def storm(self, seed):
        """Run a sequence of elections, crashes and short partitions."""
        rng = random.Random(seed)
        self.cluster.delay_s = rng.choice([0.02, 0.3, 1.0])
        for _ in range(STORM_STEPS):
            self._short_fault(rng)
            self.cluster.run(rng.choice([0.05, 0.1, 0.3]))
        self.cluster.delay_s = 0.02
        self.cluster.blocked = set()

    def _short_fault(self, rng):
        position = rng.randrange(5)
        match rng.randrange(11):
            case 0:
                self.cluster.kill(self._address(position))
                self.cluster.start(self._address(position))
            case 1 | 2:
                self._expire_election_timers()
            case 3 | 4 | 5:
                self._propose_to_all()
            case 6:
                self._partition(self._address(position))
            case 7:
                for leader in self.cluster.leaders():
                    self._propose_to_all()
                    self._partition(leader)
            case 8:
                self.cluster.blocked = set()
            case 9 if (
                rng.random() < WIPE_PROBABILITY
                and self.cluster.may_wipe(self._address(position))
            ):
                self.cluster.wipe(self._address(position))
                self.cluster.start(self._address(position))
            case 10 if self._process(position):
                self.cluster.take_snapshot(self._address(position))

    def _expire_election_timers(self):
        """Let all election timers expire at the same time."""
        for process in self.cluster.processes_by_address.values():
            process.offset_s += 2 * core.ELECTION_TIMEOUT_S

    def _propose_to_all(self):
        for address in self.cluster.processes_by_address:
            self.proposed += 1
            self.cluster.propose(address, str(self.proposed).encode())
            self.cluster.request_read_index(address)

    def _partition(self, address):
        for other in self.cluster.addresses:
            self.cluster.blocked |= {(address, other), (other, address)}

    def teardown(self):
        if self.cluster is None:
            return
        self.cluster.heal()
        self.cluster.run(RECOVERY_TIMEOUT_S)
        for address in self.cluster.leaders():
            self.cluster.propose(address, b'last')
        self.cluster.run(1.0)
        self.cluster.check_converged()
        if b'last' not in self.cluster.oracle.accepted.values():
            raise AssertionError(
                'the cluster committed no command after the faults ended'
            )

    def _address(self, position):
        addresses = self.cluster.addresses
        return addresses[position % len(addresses)]

    def _process(self, position):
        return self.cluster.processes_by_address.get(self._address(position))

    def _leaders_or_any(self, position):
        leaders = self.cluster.leaders()
        if leaders:
            return leaders[position % len(leaders)]
        return self._address(position) if self._process(position) else None

    def _restart_with_settings(self):
        for address in self.cluster.addresses:
            self.cluster.kill(address)
            self.cluster.start(address)


ClusterTests = ClusterMachine.TestCase
ClusterTests.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    database=None,
    phases=[hypothesis.Phase.generate],
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
