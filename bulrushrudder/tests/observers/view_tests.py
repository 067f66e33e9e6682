import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushrudder.documents import types
from bulrushrudder.observers import view
from bulrushrudder.state import machine
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet

POSITIONS = st.integers(0, 400)


class ViewMachine(stateful.RuleBasedStateMachine):
    """A view that receives messages of several control processes.

    The oracle is the list of accepted changes, with the time at which
    each became current.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.commands = []
        self.accepted_s = []
        self.rounds = {}
        self.view = view.View(types.Environment.PRODUCTION)
        self.applied_index = 0

    def _expected_state(self, index):
        state = machine.State()
        for position, command in enumerate(self.commands[:index], 1):
            if command is None:
                state.skip_index(position)
            else:
                state.apply(position, command)
        return state

    @stateful.rule(number=st.integers(1, 5), count=st.integers(1, 60))
    def accept(self, number, count):
        for offset in range(count):
            server = fleet.server(f's{number}', incarnation=offset)
            command = servers.JoinServer(server) if offset % 7 else None
            self.commands.append(command)
            self.accepted_s.append(self.now_s)

    @stateful.rule(first=POSITIONS, count=st.integers(1, 300))
    def send_entries(self, first, count):
        first = min(first, self.view.index) + 1
        for index in range(first, min(first + count, len(self.commands) + 1)):
            is_new = self.view.apply(index, self.commands[index - 1])
            if is_new != (index > self.applied_index):
                raise AssertionError(
                    f'apply returned {is_new} for entry {index}; '
                    f'new entries come after index {self.applied_index}'
                )
            self.applied_index = max(self.applied_index, index)

    @stateful.rule(index=POSITIONS)
    def send_state(self, index):
        index = min(index, len(self.commands))
        self.view.restore(self._expected_state(index).snapshot())
        self.applied_index = max(self.applied_index, index)

    @stateful.rule()
    def ask(self):
        number = self.view.begin_round(self.now_s)
        self.rounds[number] = (self.now_s, len(self.commands))

    @stateful.precondition(lambda self: self.rounds)
    @stateful.rule(position=POSITIONS, later=st.integers(0, 50))
    def confirm_round(self, position, later):
        """Answer any round with an index that was current after its start."""
        number = sorted(self.rounds)[position % len(self.rounds)]
        min_index = self.rounds[number][1]
        index = min(min_index + later, len(self.commands))
        self.view.confirm_round(number, index)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 2.9, 3.1, 3600.0]))
    def wait(self, seconds):
        self.now_s += seconds

    @stateful.invariant()
    def history_is_a_prefix(self):
        if self.view.index != self.applied_index:
            raise AssertionError(
                f'view is at index {self.view.index}, '
                f'expected {self.applied_index}'
            )
        expected = self._expected_state(self.applied_index).snapshot()
        if self.view.state.snapshot() != expected:
            raise AssertionError('state differs from that of the log prefix')

    @stateful.invariant()
    def fresh_view_has_all_entries_older_than_bound(self):
        if not self.view.is_fresh(self.now_s):
            return
        bound_s = self.now_s - view.FRESHNESS_BOUND_S
        for accepted_s in self.accepted_s[self.applied_index :]:
            if accepted_s < bound_s:
                raise AssertionError(
                    f'view is fresh but lacks an entry of {accepted_s} s, '
                    f'older than {bound_s} s'
                )


ViewFuzzTests = ViewMachine.TestCase
ViewFuzzTests.settings = hypothesis.settings(
    max_examples=80,
    stateful_step_count=25,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class ViewTests(unittest.TestCase):
    def test_freshness_counts_from_start_of_round(self):
        observed = view.View(types.Environment.PRODUCTION)
        number = observed.begin_round(10.0)
        observed.confirm_round(number, 0)
        self.assertTrue(observed.is_fresh(10.0 + view.FRESHNESS_BOUND_S))
        self.assertFalse(observed.is_fresh(10.1 + view.FRESHNESS_BOUND_S))

    # Guards against a VM that sends requests by a view from before it was
    # paused, for example to a zone that was evacuated since.

    def test_view_is_not_settled_after_pause_until_it_is_confirmed(self):
        observed = view.View(types.Environment.PRODUCTION)
        self.assertFalse(observed.is_settled(10.0))
        observed.confirm_round(observed.begin_round(10.0), 0)
        self.assertTrue(observed.is_settled(10.1))
        resumed_s = 20.0
        self.assertFalse(observed.is_settled(resumed_s))
        observed.confirm_round(observed.begin_round(resumed_s), 0)
        self.assertTrue(observed.is_settled(resumed_s + 0.1))

    def test_view_without_contact_is_settled_some_time_after_pause(self):
        observed = view.View(types.Environment.PRODUCTION)
        self.assertFalse(observed.is_settled(10.0))
        for step in range(1, 10):
            observed.observe_time(10.0 + step * 0.25)
        self.assertTrue(observed.is_settled(10.0 + view.CONTACT_WAIT_S + 0.3))

    def test_view_that_loses_contact_without_pause_remains_settled(self):
        observed = view.View(types.Environment.PRODUCTION)
        observed.confirm_round(observed.begin_round(10.0), 0)
        for step in range(100):
            self.assertTrue(observed.is_settled(10.0 + step * 0.25))

    def test_round_with_missing_index_does_not_confirm_view(self):
        observed = view.View(types.Environment.PRODUCTION)
        observed.confirm_round(observed.begin_round(10.0), 1)
        self.assertFalse(observed.is_fresh(10.0))
        observed.apply(1, None)
        observed.confirm_round(observed.begin_round(10.0), 1)
        self.assertTrue(observed.is_fresh(10.0))

    def test_view_at_its_bound_has_all_entries_older_than_bound(self):
        observed = view.View(types.Environment.PRODUCTION)
        sent_s = 0.1
        observed.confirm_round(observed.begin_round(sent_s), 0)
        now_s = sent_s + 0.1 + 2.9
        oldest_s = now_s - view.FRESHNESS_BOUND_S
        self.assertGreater(oldest_s, sent_s)
        self.assertFalse(observed.is_fresh(now_s))
