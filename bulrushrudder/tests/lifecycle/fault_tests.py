import itertools
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bulrushrudder.core import outcomes
from bulrushrudder.tests.lifecycle import world

FAULT_FREE_STEPS = 13


def _no_fault(simulation, call):
    pass


def run(faults, repeatable=True):
    """Run a request with faults and return its Call.

    :param faults: pairs of step and fault, ordered by step.
    """
    simulation = world.FleetSimulation()
    call = simulation.start_request(repeatable)
    faults = faults or [(0, _no_fault)]
    for step in range(FAULT_FREE_STEPS * 3):
        for at, fault in faults:
            if at == step:
                fault(simulation, call)
        if call.request.ended and step > faults[-1][0]:
            break
        simulation.advance(call)
        simulation.tick()
        simulation.process_cancel_order()
    simulation.settle()
    return call


class SingleFaultTests(unittest.TestCase):
    def test_completes_answer_without_faults(self):
        call = run([])
        self.assertEqual(call.end, 'whole')
        self.assertEqual(call.charged, 10)

    def test_handles_each_fault_at_each_step(self):
        for repeatable in (True, False):
            for step in range(FAULT_FREE_STEPS):
                for fault in world.FAULTS:
                    with self.subTest(f'{fault} at {step}'):
                        run([(step, fault)], repeatable)

    def test_completes_answer_after_one_engine_failure(self):
        faults = (
            world.server_crash,
            world.duplicate_event,
            world.misrouted_events,
            world.missing_token,
            world.premature_end,
            world.attempt_failure(outcomes.Reason.BACKEND_FAILED),
            world.attempt_failure(outcomes.Reason.BACKEND_SILENT),
            world.attempt_failure(outcomes.Reason.BACKEND_FULL),
            world.attempt_failure(outcomes.Reason.TRANSFER_FAILED),
        )
        for step in range(FAULT_FREE_STEPS):
            for fault in faults:
                with self.subTest(f'{fault} at {step}'):
                    self.assertEqual(run([(step, fault)]).end, 'whole')


class FaultPairTests(unittest.TestCase):
    def test_handles_fault_pairs_at_step_pairs(self):
        steps = itertools.combinations_with_replacement(
            range(0, FAULT_FREE_STEPS + 6, 2), 2
        )
        for first_step, second_step in steps:
            for first, second in itertools.product(world.FAULTS, repeat=2):
                run([(first_step, first), (second_step, second)])


class ConcurrentRequestsMachine(stateful.RuleBasedStateMachine):
    """Concurrent requests on shared servers, with any faults."""

    def __init__(self):
        super().__init__()
        self.simulation = world.FleetSimulation()

    @stateful.precondition(lambda self: len(self.simulation.calls) < 5)
    @stateful.rule(repeatable=strategies.booleans())
    def open(self, repeatable):
        self.simulation.start_request(repeatable)

    @stateful.precondition(lambda self: self.simulation.calls)
    @stateful.rule(
        number=strategies.integers(0, 4), steps=strategies.integers(1, 6)
    )
    def advance(self, number, steps):
        call = self.simulation.calls[number % len(self.simulation.calls)]
        for _ in range(steps):
            self.simulation.advance(call)

    @stateful.precondition(lambda self: self.simulation.calls)
    @stateful.rule(
        number=strategies.integers(0, 4),
        fault=strategies.sampled_from(world.FAULTS),
    )
    def fault(self, number, fault):
        call = self.simulation.calls[number % len(self.simulation.calls)]
        fault(self.simulation, call)

    @stateful.rule(
        name=strategies.sampled_from((*world.PREFILLS, *world.DECODES))
    )
    def crash(self, name):
        self.simulation.crash_server(name)

    @stateful.rule(
        reached=strategies.booleans(),
        answered=strategies.booleans(),
        seconds=strategies.sampled_from((0.05, 0.3, 1.5)),
    )
    def cancel(self, reached, answered, seconds):
        self.simulation.tick(seconds)
        self.simulation.process_cancel_order(reached, answered)

    def teardown(self):
        self.simulation.settle()


ConcurrentRequestsMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    stateful_step_count=60,
)
ConcurrentRequestsTests = ConcurrentRequestsMachine.TestCase
