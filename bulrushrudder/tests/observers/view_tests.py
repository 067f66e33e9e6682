import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushrudder.documents import types
from bulrushrudder.observers import view
from bulrushrudder.state import machine
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet

PLACES = st.integers(0, 400)


class ViewMachine(stateful.RuleBasedStateMachine):
    """A view that is fed by several control processes.

    The oracle is the list of accepted changes, with the time at which
    each became current.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.commands = []
        self.accepted_s = []
        self.questions = {}
        self.view = view.View(types.Environment.PRODUCTION)
        self.reached = 0

    def _state(self, index):
        found = machine.State()
        for place, command in enumerate(self.commands[:index], 1):
            if command is None:
                found.pass_over(place)
            else:
                found.apply(place, command)
        return found

    @stateful.rule(number=st.integers(1, 5), count=st.integers(1, 60))
    def accept(self, number, count):
        for offset in range(count):
            server = fleet.server(f's{number}', incarnation=offset)
            command = servers.JoinServer(server) if offset % 7 else None
            self.commands.append(command)
            self.accepted_s.append(self.now_s)

    @stateful.rule(first=PLACES, count=st.integers(1, 300))
    def send_entries(self, first, count):
        first = min(first, self.view.index) + 1
        for index in range(first, min(first + count, len(self.commands) + 1)):
            fresh = self.view.apply(index, self.commands[index - 1])
            if fresh != (index > self.reached):
                raise AssertionError('an old entry was taken for new')
            self.reached = max(self.reached, index)

    @stateful.rule(index=PLACES)
    def send_state(self, index):
        index = min(index, len(self.commands))
        self.view.restore(self._state(index).snapshot())
        self.reached = max(self.reached, index)

    @stateful.rule()
    def ask(self):
        number = self.view.begin_round(self.now_s)
        self.questions[number] = (self.now_s, len(self.commands))

    @stateful.precondition(lambda self: self.questions)
    @stateful.rule(place=PLACES, later=st.integers(0, 50))
    def vouch(self, place, later):
        """Answer any question with an index that was current since."""
        number = sorted(self.questions)[place % len(self.questions)]
        at_least = self.questions[number][1]
        index = min(at_least + later, len(self.commands))
        self.view.confirm_round(number, index)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 2.9, 3.1, 3600.0]))
    def wait(self, seconds):
        self.now_s += seconds

    @stateful.invariant()
    def history_is_a_prefix(self):
        if self.view.index != self.reached:
            raise AssertionError(f'{self.view.index} after {self.reached}')
        expected = self._state(self.reached).snapshot()
        if self.view.state.snapshot() != expected:
            raise AssertionError('the view is no prefix of the log')

    @stateful.invariant()
    def fresh_means_nothing_older_is_missing(self):
        if not self.view.fresh(self.now_s):
            return
        bound_s = self.now_s - view.FRESHNESS_BOUND_S
        for accepted_s in self.accepted_s[self.reached :]:
            if accepted_s < bound_s:
                raise AssertionError('a stale view calls itself fresh')


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
    def test_freshness_counts_from_the_question(self):
        found = view.View(types.Environment.PRODUCTION)
        number = found.begin_round(10.0)
        found.confirm_round(number, 0)
        self.assertTrue(found.fresh(10.0 + view.FRESHNESS_BOUND_S))
        self.assertFalse(found.fresh(10.1 + view.FRESHNESS_BOUND_S))

    def test_vouch_for_an_index_that_is_missing(self):
        found = view.View(types.Environment.PRODUCTION)
        found.confirm_round(found.begin_round(10.0), 1)
        self.assertFalse(found.fresh(10.0))
        found.apply(1, None)
        found.confirm_round(found.begin_round(10.0), 1)
        self.assertTrue(found.fresh(10.0))
