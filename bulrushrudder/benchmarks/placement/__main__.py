"""Command line of the placement benchmark."""

import dataclasses
import json

import fire

from bulrushrudder.benchmarks.placement import faults
from bulrushrudder.benchmarks.placement import policies
from bulrushrudder.benchmarks.placement import runs
from bulrushrudder.benchmarks.placement import workload

LOADS = (0.5, 0.8, 0.95, 1.1, 1.5)
HEAD = (
    'fleet',
    'case',
    'policy',
    'load',
    'goodput',
    'bound',
    'wasted',
    'worst p99 s',
    'refused',
    'occupancy',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A load with the faults of a run."""

    name: str
    load: float
    factors_by_account: tuple[tuple[str, float], ...] = ()
    faults: tuple = ()


def cases(seconds):
    """Return all cases, with faults in the middle of a run."""
    middle_s = seconds / 2
    five = (('account-1', 5.0),)
    return (
        *(Case('steady', load) for load in LOADS),
        Case('five-fold', 0.5, five),
        Case('five-fold', 0.8, five),
        Case('runner lost', 0.8, (), (faults.RunnerLost(middle_s),)),
        Case('coordinator lost', 0.8, (), (faults.CoordinatorLost(middle_s),)),
        Case('late reports', 0.95, (), (faults.ReportsLate(5.0, 0.3),)),
        Case('callers leave', 0.95, (), (faults.CallersLeave(0.1, 2.0),)),
    )


def placement(seconds=300, seed=1, fleet='', json=False):
    """Measure placement in virtual time.

    :param seconds: virtual seconds for which requests arrive.
    :param seed: of the random numbers.
    :param fleet: part of the name of the fleets to run.
    :param json: print JSON instead of a table.
    """
    rows = []
    for chosen in workload.FLEETS:
        if fleet in chosen.name:
            rows += _rows(chosen, seconds, seed)
    if json:
        _print_json(rows)
    else:
        _print_table(rows)


def _rows(fleet, seconds, seed):
    for case in cases(seconds):
        mix = workload.Mix(case.load, seconds, seed, case.factors_by_account)
        for policy in (policies.Coordinated(), *policies.BASELINES):
            run = runs.Run(fleet, mix, policy, case.faults)
            yield case.name, run.run()


def _print_json(rows):
    print(
        json.dumps(
            [{'case': n, **dataclasses.asdict(r)} for n, r in rows], indent=1
        )
    )


def _print_table(rows):
    print(' | '.join(HEAD))
    for name, row in rows:
        print(
            f'{row.fleet} | {name} | {row.policy} | {row.load:.0%} | '
            f'{row.goodput:.1%} | {row.bound:.1%} | {row.wasted:.2%} | '
            f'{row.worst_p99_s:.2f} | {row.refused_inside} | '
            f'{row.occupancy:.1%}'
        )


if __name__ == '__main__':
    fire.Fire(placement)
