"""Sends requests to a fleet of processes on the loopback interface.

The stand-ins run in the process of this script.

Usage: python scripts/local_fleet.py [--controls N] [--entries N]
    [--requests N]
"""

import argparse
import asyncio
import contextlib
import pathlib
import sys
import tempfile

import fault_run
import processes

MAX_CONCURRENT_REQUESTS = 16


async def send_requests(trial, requests):
    """Send drafts with bounded concurrency.

    :param requests: number of drafts.
    :returns: number of complete responses.
    """
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def send_one(number):
        async with limit:
            await trial.callers.send_draft(f'prompt {number}', number % 2 == 0)

    await asyncio.gather(*map(send_one, range(requests)))
    return trial.callers.record.counts['whole']


async def main(arguments):
    """Run the fleet and return the exit code."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        fleet = processes.Fleet(folder, arguments.controls, arguments.entries)
        trial = await fault_run.start(stack, fleet, seed=1)
        whole = await send_requests(trial, arguments.requests)
        print(f'{whole} of {arguments.requests} responses whole')
        print(dict(trial.callers.record.counts))
        for problem in trial.problems + trial.callers.record.problems:
            print(f'PROBLEM: {problem}')
        return 0 if whole == arguments.requests else 1


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--controls', type=int, default=1)
    parser.add_argument('--entries', type=int, default=3)
    parser.add_argument('--requests', type=int, default=200)
    sys.exit(asyncio.run(main(parser.parse_args())))
