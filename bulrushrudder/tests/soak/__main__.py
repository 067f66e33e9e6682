"""Plays seeds of the soak by hand: python -m bulrushrudder.tests.soak."""

import concurrent.futures
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
):
    """Play seeds and print a line for each.

    :param first: the first seed.
    :param jobs: seeds that are played at a time.
    :param root: the checkout whose programs run.
    """
    plans = [
        soak.Plan(seed, seconds, pathlib.Path(root), disrupts, kills_at_start)
        for seed in range(first, first + count)
    ]
    folders = [pathlib.Path(folder) / str(plan.seed) for plan in plans]
    broken = 0
    _exit_at_sigterm()
    with concurrent.futures.ProcessPoolExecutor(
        jobs, initializer=_exit_at_sigterm
    ) as pool:
        for verdict in pool.map(soak.play, plans, folders):
            broken += bool(verdict.breaks)
            print(soak.summary(verdict), flush=True)
    print(f'{count - broken} held, {broken} broken')
    sys.exit(1 if broken else 0)


def _exit_at_sigterm():
    """End by an exception at SIGTERM, so that all programs are ended."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))


if __name__ == '__main__':
    fire.Fire(main)
