"""Compares links on asyncio streams with pynng sockets.

Both ends are in this process. Needs pynng from the development
requirements; the program itself does not use it.
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
from bulrushrudder.core import units
from bulrushrudder.protocol import link
from bulrushrudder.protocol import messages
from bulrushrudder.utils import ports

ROUND_TRIPS = 2000
SOCKET_PAIRS = 100
PAYLOAD = b'x' * 100
TIMEOUT_S = 5.0
BYTES_PER_KB = 1000

_SECRET = b'benchmark-secret'
_OWNER = ids.Owner(ids.VmId('benchmark'), 1)
_STATM = pathlib.Path('/proc/self/statm')
_TASKS = pathlib.Path('/proc/self/task')


def main(arguments=None):
    """Run the benchmark and print a table.

    :param arguments: command-line arguments without the program name.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--json', action='store_true', help='print JSON')
    options = parser.parse_args(arguments)
    rows = asyncio.run(_measure())
    columns = (
        report.Column('transport'),
        report.Column('native threads'),
        report.Column('memory a pair of sockets', 'KB'),
        report.Column('round trip p50', 'ms'),
        report.Column('round trip p99', 'ms'),
    )
    title = f'{ROUND_TRIPS} round trips, {SOCKET_PAIRS} pairs of sockets'
    report.show([report.Table(title, columns, tuple(rows))], options.json)


async def _measure():
    rows = [await _measure_transport('asyncio streams', _open_streams)]
    try:
        rows.append(await _measure_transport('pynng', _open_pynng))
    except ModuleNotFoundError:
        print(
            'pynng is not installed; only asyncio streams are measured',
            file=sys.stderr,
        )
    return rows


async def _measure_transport(name, open_pair):
    """Return the cells of one transport.

    :param open_pair: coroutine function that opens both ends on an exit
        stack and returns a coroutine function for one round trip.
    """
    threads = _count_threads()
    async with contextlib.AsyncExitStack() as stack:
        round_trip = await open_pair(stack)
        times_s = [
            await _time_round_trip(round_trip) for _ in range(ROUND_TRIPS)
        ]
        before = _resident_bytes()
        for _ in range(SOCKET_PAIRS):
            await open_pair(stack)
        grown_kb = (_resident_bytes() - before) / SOCKET_PAIRS / BYTES_PER_KB
        threads = _count_threads() - threads
    cut_points_s = statistics.quantiles(times_s, n=100, method='inclusive')
    p50, p99 = (
        cut_points_s[49] * units.MS_PER_SECOND,
        cut_points_s[98] * units.MS_PER_SECOND,
    )
    return name, threads, grown_kb, p50, p99


async def _time_round_trip(round_trip):
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
    dialled_link = await link.dial(address, _OWNER, _SECRET, answer)
    client = dialled_link.unwrap()
    task = asyncio.create_task(client.run())
    stack.push_async_callback(asyncio.wait, [task])
    stack.callback(client.close)
    message = messages.Response(1, PAYLOAD)

    async def round_trip():
        (await client.ask(message, TIMEOUT_S)).unwrap()

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
        await second.asend(PAYLOAD)
        await second.arecv()

    return round_trip


def _count_threads():
    return len(list(_TASKS.iterdir()))


def _resident_bytes():
    return int(_STATM.read_text().split()[1]) * os.sysconf('SC_PAGESIZE')


if __name__ == '__main__':
    sys.exit(main())
