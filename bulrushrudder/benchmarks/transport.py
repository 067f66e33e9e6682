"""Compares links on asyncio streams with pynng sockets.

Both ends are in this process. Needs the development requirements, which
hold pynng; the program itself does not use it.
"""

import argparse
import asyncio
import contextlib
import os
import pathlib
import statistics
import sys

from bulrushrudder.benchmarks import report
from bulrushrudder.config import settings
from bulrushrudder.core import ids
from bulrushrudder.protocol import link
from bulrushrudder.protocol import messages
from bulrushrudder.utils import ports

ROUND_TRIPS = 2000
SOCKETS = 100
BODY = b'x' * 100
TIMEOUT_S = 5.0
MS_A_SECOND = 1000.0
BYTES_A_KB = 1000

_SECRET = b'benchmark-secret'
_OWNER = ids.Owner(ids.VmId('benchmark'), 1)
_STATM = pathlib.Path('/proc/self/statm')
_TASKS = pathlib.Path('/proc/self/task')


def main(arguments=None):
    """Run the benchmark and print a table.

    :param arguments: words after the program's name.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--json', action='store_true', help='print JSON')
    found = parser.parse_args(arguments)
    rows = asyncio.run(_measure())
    columns = (
        report.Column('transport'),
        report.Column('native threads'),
        report.Column('memory a pair of sockets', 'KB'),
        report.Column('round trip p50', 'ms'),
        report.Column('round trip p99', 'ms'),
    )
    title = f'{ROUND_TRIPS} round trips, {SOCKETS} pairs of sockets'
    report.show([report.Table(title, columns, tuple(rows))], found.json)


async def _measure():
    rows = [await _row('asyncio streams', _open_streams)]
    try:
        rows.append(await _row('pynng', _open_pynng))
    except ModuleNotFoundError:
        print('pynng is not installed', file=sys.stderr)
    return rows


async def _row(name, open_pair):
    """Return the cells of one transport.

    :param open_pair: coroutine function of a stack that opens both ends
        and returns a coroutine function for one round trip.
    """
    threads = _threads()
    async with contextlib.AsyncExitStack() as stack:
        round_trip = await open_pair(stack)
        times_s = [await _timed(round_trip) for _ in range(ROUND_TRIPS)]
        before = _resident_bytes()
        for _ in range(SOCKETS):
            await open_pair(stack)
        grown = (_resident_bytes() - before) / SOCKETS / BYTES_A_KB
        threads = _threads() - threads
    cuts = statistics.quantiles(times_s, n=100, method='inclusive')
    p50, p99 = cuts[49] * MS_A_SECOND, cuts[98] * MS_A_SECOND
    return name, threads, grown, p50, p99


async def _timed(round_trip):
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    await round_trip()
    return loop.time() - start_s


async def _open_streams(stack):
    async def answer(_, message):
        return message

    (port,) = ports.free_ports(1)
    address = settings.Address(ports.LOOPBACK, port)
    listener = await link.listen(address, _OWNER, _SECRET, answer)
    stack.callback(listener.close)
    dialled = await link.dial(address, _OWNER, _SECRET, answer)
    found = dialled.unwrap()
    task = asyncio.create_task(found.run())
    stack.push_async_callback(asyncio.wait, [task])
    stack.callback(found.close)
    question = messages.Response(1, BODY)

    async def round_trip():
        (await found.ask(question, TIMEOUT_S)).unwrap()

    return round_trip


async def _open_pynng(stack):
    import pynng

    (port,) = ports.free_ports(1)
    url = f'tcp://{ports.LOOPBACK}:{port}'
    first = stack.enter_context(pynng.Pair0(listen=url))
    second = stack.enter_context(pynng.Pair0(dial=url))

    async def echo():
        with contextlib.suppress(pynng.exceptions.Closed):
            while True:
                await first.asend(await first.arecv())

    task = asyncio.create_task(echo())
    stack.callback(task.cancel)

    async def round_trip():
        await second.asend(BODY)
        await second.arecv()

    return round_trip


def _threads():
    return len(list(_TASKS.iterdir()))


def _resident_bytes():
    return int(_STATM.read_text().split()[1]) * os.sysconf('SC_PAGESIZE')


if __name__ == '__main__':
    sys.exit(main())
