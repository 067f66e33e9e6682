"""Plays seeds of the soak by hand: python -m bulrushrudder.tests.soak."""

import concurrent.futures
import itertools
import pathlib
import signal
import sys

import fire

from bulrushrudder.tests.soak import programs
from bulrushrudder.tests.soak import soak


def main(
    first=1,
    count=10,
    seconds=20.0,
    jobs=2,
    folder='build/soak',
    root=str(programs.ROOT),
    disrupts=True,
    kills_at_start=False,
    stops=False,
    server_faults=False,
    replacements=False,
    cuts=False,
    misbehaves=True,
):
    """Play seeds and print a line for each.

    :param first: the first seed.
    :param jobs: seeds that are played at a time.
    :param folder: where records and logs are kept; a seed that was played
        there before gets another folder.
    :param root: the checkout whose programs run.
    :param stops: play planned stops only.
    :param server_faults: with stops, let servers misbehave beside them.
    :param replacements: replace the machines of the core one after the
        other, and let everything go dark at the end.
    :param cuts: cut entries off from all servers.
    :param misbehaves: let some clients keep to no limit.
    """
    plans = [
        soak.Plan(
            seed,
            seconds,
            pathlib.Path(root),
            disrupts,
            kills_at_start,
            stops,
            server_faults,
            replacements,
            cuts,
            misbehaves,
        )
        for seed in range(first, first + count)
    ]
    folders = [
        _free(pathlib.Path(folder).resolve() / str(plan.seed))
        for plan in plans
    ]
    broken = 0
    _exit_at_sigterm()
    with concurrent.futures.ProcessPoolExecutor(
        jobs, initializer=_exit_at_sigterm
    ) as pool:
        try:
            for verdict in pool.map(soak.play, plans, folders):
                broken += bool(verdict.breaks)
                print(soak.summary(verdict), flush=True)
        except BaseException:
            pool.shutdown(cancel_futures=True)
            raise
    print(f'{count - broken} held, {broken} broken')
    sys.exit(1 if broken else 0)


def _free(folder):
    """Return a folder that keeps no data of an earlier play."""
    numbers = itertools.count(2)
    free = folder
    while free.exists():
        free = folder.with_name(f'{folder.name}-{next(numbers)}')
    return free


def _exit_at_sigterm():
    """End by an exception at SIGTERM, so that all programs are ended."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))


if __name__ == '__main__':
    fire.Fire(main)
