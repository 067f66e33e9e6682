"""Command line of the placement benchmark."""

import dataclasses

import fire

from bulrushrudder.benchmarks import report
from bulrushrudder.benchmarks.placement import faults
from bulrushrudder.benchmarks.placement import policies
from bulrushrudder.benchmarks.placement import runs
from bulrushrudder.benchmarks.placement import workload

LOADS = (0.5, 0.8, 0.95, 1.1, 1.5)
COLUMNS = (
    report.Column('fleet'),
    report.Column('case'),
    report.Column('policy'),
    report.Column('load'),
    report.Column('goodput'),
    report.Column('bound'),
    report.Column('wasted'),
    report.Column('worst p99', 's'),
    report.Column('refused'),
    report.Column('occupancy'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """The load and the faults of a run.

    :param load: share of the decode capacity.
    :param factors_by_account: pairs of an account and its factor.
    """

    name: str
    load: float
    factors_by_account: tuple[tuple[str, float], ...] = ()
    faults: tuple = ()


def cases(seconds):
    """Return all cases; crashes come in the middle of a run.

    :param seconds: virtual seconds for which requests arrive.
    """
    fault_at_s = seconds / 2
    five_fold = (('account-1', 5.0),)
    return (
        *(Case('steady', load) for load in LOADS),
        Case('five-fold', 0.5, five_fold),
        Case('five-fold', 0.8, five_fold),
        Case('runner lost', 0.8, (), (faults.RunnerLost(fault_at_s),)),
        Case(
            'coordinator lost', 0.8, (), (faults.CoordinatorLost(fault_at_s),)
        ),
        Case('late reports', 0.95, (), (faults.ReportsLate(5.0, 0.3),)),
        Case('callers leave', 0.95, (), (faults.CallersLeave(0.1, 2.0),)),
    )


def placement(seconds=300, seed=1, fleet='', json=False):
    """Measure placement in virtual time.

    :param seconds: virtual seconds for which requests arrive.
    :param seed: seed of the random numbers.
    :param fleet: part of the name of the fleets to run.
    :param json: print JSON instead of a table.
    """
    rows = tuple(
        _result_cells(case, result)
        for chosen_fleet in workload.FLEETS
        if fleet in chosen_fleet.name
        for case, result in _run_cases(chosen_fleet, seconds, seed)
    )
    report.show([report.Table('Placement', COLUMNS, rows)], json)


def _result_cells(case, result):
    return (
        result.fleet,
        case,
        result.policy,
        result.load,
        round(result.goodput, 4),
        round(result.bound, 4),
        round(result.wasted, 4),
        round(result.worst_p99_s, 2),
        result.refused_inside_rate,
        round(result.occupancy, 4),
    )


def _run_cases(fleet, seconds, seed):
    for case in cases(seconds):
        mix = workload.Mix(case.load, seconds, seed, case.factors_by_account)
        for policy in (policies.Coordinated(), *policies.BASELINES):
            run = runs.Run(fleet, mix, policy, case.faults)
            yield case.name, run.run()


def main(arguments=None):
    """Run the benchmark."""
    fire.Fire(placement, command=arguments)


if __name__ == '__main__':
    main()
