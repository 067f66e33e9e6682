"""Measures the durable control state with real files and sockets.

Control processes and observers run on one event loop and share one core.
"""

import asyncio
import contextlib
import itertools
import pathlib
import statistics
import sys
import tempfile
import time

import logbook

from bulrushrudder.benchmarks import control_cluster as clusters
from bulrushrudder.benchmarks import report
from bulrushrudder.core import ids
from bulrushrudder.core import units
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.state import servers

CONCURRENT_PROPOSALS = 64
THROUGHPUT_DURATION_S = 4.0
OBSERVERS = 9
MEASURED_CHANGES = 100
MISSED_CHANGES = 1000
TRAFFIC_DURATION_S = 6.0
BUSY_CHANGES_PER_S = 10
ACCOUNTS = 17000
KEYS_PER_ACCOUNT = 2
PAGE_BYTES = 4096
MEGABYTE = 1024 * 1024

_CHANGE_NUMBERS = itertools.count(1)


def _new_change():
    number = next(_CHANGE_NUMBERS)
    return servers.JoinServer(
        servers.BackendServer(
            id=ids.ServerId(f'decode-{number % 50}'),
            incarnation=number,
            kind='decode',
            host='127.0.0.1',
            port=9000,
            zone=ids.Zone('a'),
            serves=('drafting',),
            places=20,
            memory_tokens=400000,
            link_tokens_per_s=1e6,
            checks_fencing=True,
        )
    )


async def _measure_changes_per_s(cluster):
    until_s = time.monotonic() + THROUGHPUT_DURATION_S
    counts = []

    async def propose():
        count = 0
        while time.monotonic() < until_s:
            await cluster.leader.node.propose(_new_change())
            count += 1
        counts.append(count)

    await asyncio.gather(*(propose() for _ in range(CONCURRENT_PROPOSALS)))
    return sum(counts) / THROUGHPUT_DURATION_S


async def _measure_in_force(cluster):
    """Return a table of times until accepted changes are in force.

    A change is in force when all observers have applied it.
    """
    observers = [
        await cluster.observe(f'vm{number}') for number in range(OBSERVERS)
    ]
    times_ms = []
    for _ in range(MEASURED_CHANGES):
        outcome = await observers[0].control_client.propose(_new_change())
        started_s = time.monotonic()
        await asyncio.gather(
            *(
                o.control_client.wait_for_index(outcome.index)
                for o in observers
            )
        )
        times_ms.append((time.monotonic() - started_s) * units.MS_PER_SECOND)
        await asyncio.sleep(0.01)
    columns = (report.Column('p50', 'ms'), report.Column('max', 'ms'))
    rows = ((statistics.median(times_ms), max(times_ms)),)
    title = f'accepted to in force on {OBSERVERS} observers'
    return report.Table(title, columns, rows)


async def _measure_catch_up(cluster):
    async with contextlib.AsyncExitStack() as stack:
        departed = await cluster.observe('vm-late', stack)
        missed_from = departed.view.index
    for _ in range(MISSED_CHANGES // CONCURRENT_PROPOSALS + 1):
        await asyncio.gather(
            *(
                cluster.leader.node.propose(_new_change())
                for _ in range(CONCURRENT_PROPOSALS)
            )
        )
    missed_count = cluster.leader.node.index - missed_from
    started_s = time.monotonic()
    returned = await cluster.observe('vm-late')
    await returned.control_client.wait_for_index(cluster.leader.node.index)
    took_ms = (time.monotonic() - started_s) * units.MS_PER_SECOND
    columns = (
        report.Column('missed changes'),
        report.Column('time', 'ms'),
        report.Column('traffic', 'bytes'),
    )
    rows = ((missed_count, took_ms, returned.relay.byte_count),)
    title = 'catch-up of an observer that starts with empty state'
    return report.Table(title, columns, rows)


async def _measure_observer_traffic(cluster):
    observer = await cluster.observe('vm-cost')
    while cluster.leader.node.state.servers.by_id:
        await asyncio.sleep(TRAFFIC_DURATION_S / 10)
    idle = await _measure_bytes_per_s(observer, 0)
    busy = await _measure_bytes_per_s(observer, BUSY_CHANGES_PER_S, cluster)
    columns = (
        report.Column('changes a second'),
        report.Column('traffic', 'bytes/s'),
    )
    rows = ((0, idle), (BUSY_CHANGES_PER_S, busy))
    return report.Table('traffic of an observer', columns, rows)


async def _measure_bytes_per_s(observer, rate, cluster=None):
    before = observer.relay.byte_count
    started_s = time.monotonic()
    while time.monotonic() - started_s < TRAFFIC_DURATION_S:
        if rate:
            await cluster.leader.node.propose(_new_change())
        await asyncio.sleep(1 / rate if rate else TRAFFIC_DURATION_S)
    return (observer.relay.byte_count - before) / (
        time.monotonic() - started_s
    )


def _measure_memory():
    before = _resident_bytes()
    document = types.Document(
        version=1,
        accounts=tuple(_account(number) for number in range(ACCOUNTS)),
        models=(),
        routes=(),
        register=lookups.EMPTY_DOCUMENT.register,
        cut_on_withdrawal=False,
    )
    indexed = lookups.Lookups(document)
    grown_mb = (_resident_bytes() - before) / MEGABYTE
    columns = (
        report.Column('client accounts'),
        report.Column('keys'),
        report.Column('memory', 'MB'),
    )
    rows = ((ACCOUNTS, len(indexed.account_ids_by_key_digest), grown_mb),)
    return report.Table('a document and its lookups', columns, rows)


def _account(number):
    return types.ClientAccount(
        id=ids.AccountId(f'account-{number}'),
        rate=100.0,
        burst=1000,
        weight=1.0,
        key_digests=tuple(
            f'sha256:{number:032x}{key:032x}'
            for key in range(KEYS_PER_ACCOUNT)
        ),
    )


def _resident_bytes():
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


async def _measure(folder):
    tables = [_measure_memory()]
    rates = []
    for members in (3, 5):
        async with clusters.running_cluster(folder, members) as cluster:
            rates.append((members, await _measure_changes_per_s(cluster)))
            if members == 3:
                tables.append(await _measure_in_force(cluster))
                tables.append(await _measure_catch_up(cluster))
                tables.append(await _measure_observer_traffic(cluster))
    columns = (report.Column('members'), report.Column('changes', '1/s'))
    title = f'changes with fsync, {CONCURRENT_PROPOSALS} concurrent proposals'
    tables.append(report.Table(title, columns, tuple(rates)))
    return tables


def main(arguments=None):
    """Run the benchmark and print its tables.

    :param arguments: command-line arguments without the program name.
    """
    options = report.parse_arguments(__doc__, arguments)
    with (
        tempfile.TemporaryDirectory() as folder,
        logbook.NullHandler().applicationbound(),
    ):
        tables = asyncio.run(_measure(folder))
    report.show(tables, options.json)


if __name__ == '__main__':
    sys.exit(main())
