import itertools
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushrudder.core import outcomes
from bulrushrudder.tests.lifecycle import world

HAPPY_STEPS = 13


def _nothing(found, call):
    pass


def run(faults, repeatable=True):
    """Run one request with faults at the given steps."""
    found = world.World()
    call = found.open(repeatable)
    faults = faults or [(0, _nothing)]
    for step in range(HAPPY_STEPS * 3):
        for at, fault in faults:
            if at == step:
                fault(found, call)
        if call.request.ended and step > faults[-1][0]:
            break
        found.advance(call)
        found.tick()
        found.answer_order()
    found.settle()
    return call


class SingleFaultTests(unittest.TestCase):
    def test_without_a_fault_the_answer_is_whole(self):
        call = run([])
        self.assertEqual(call.end, 'whole')
        self.assertEqual(call.charged, 10)

    def test_each_fault_at_each_state(self):
        for repeatable in (True, False):
            for step in range(HAPPY_STEPS):
                for fault in world.FAULTS:
                    with self.subTest(f'{fault} at {step}'):
                        run([(step, fault)], repeatable)

    def test_one_failure_of_an_engine_costs_no_answer(self):
        faults = (
            world.crashing,
            world.replayed,
            world.crossed,
            world.skipping,
            world.short,
            world.failing(outcomes.Reason.BACKEND_FAILED),
            world.failing(outcomes.Reason.BACKEND_SILENT),
            world.failing(outcomes.Reason.BACKEND_FULL),
            world.failing(outcomes.Reason.TRANSFER_FAILED),
        )
        for step in range(HAPPY_STEPS):
            for fault in faults:
                with self.subTest(f'{fault} at {step}'):
                    self.assertEqual(run([(step, fault)]).end, 'whole')


class PairsOfFaultsTests(unittest.TestCase):
    def test_pairs_of_faults_at_pairs_of_states(self):
        steps = itertools.combinations_with_replacement(
            range(0, HAPPY_STEPS + 6, 2), 2
        )
        for first_step, second_step in steps:
            for first, second in itertools.product(world.FAULTS, repeat=2):
                run([(first_step, first), (second_step, second)])


class ManyRequests(stateful.RuleBasedStateMachine):
    """Several requests share servers, and anything may go wrong."""

    def __init__(self):
        super().__init__()
        self.world = world.World()

    @stateful.precondition(lambda self: len(self.world.calls) < 5)
    @stateful.rule(repeatable=strategies.booleans())
    def open(self, repeatable):
        self.world.open(repeatable)

    @stateful.precondition(lambda self: self.world.calls)
    @stateful.rule(
        number=strategies.integers(0, 4), steps=strategies.integers(1, 6)
    )
    def advance(self, number, steps):
        call = self.world.calls[number % len(self.world.calls)]
        for _ in range(steps):
            self.world.advance(call)

    @stateful.precondition(lambda self: self.world.calls)
    @stateful.rule(
        number=strategies.integers(0, 4),
        fault=strategies.sampled_from(world.FAULTS),
    )
    def fault(self, number, fault):
        call = self.world.calls[number % len(self.world.calls)]
        fault(self.world, call)

    @stateful.rule(
        name=strategies.sampled_from((*world.PREFILLS, *world.DECODES))
    )
    def crash(self, name):
        self.world.crash(name)

    @stateful.rule(
        reached=strategies.booleans(),
        answered=strategies.booleans(),
        seconds=strategies.sampled_from((0.05, 0.3, 1.5)),
    )
    def cancel(self, reached, answered, seconds):
        self.world.tick(seconds)
        self.world.answer_order(reached, answered)

    def teardown(self):
        self.world.settle()


ManyRequests.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    stateful_step_count=60,
)
ManyRequestsTests = ManyRequests.TestCase
