"""Measures the durable control state with real files and sockets.

Control processes and observers share one loop and so one core.
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
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.state import servers

PROPOSERS = 64
RATE_S = 4.0
OBSERVERS = 9
CHANGES = 100
MISSED = 1000
IDLE_S = 6.0
BUSY_CHANGES_A_S = 10
ACCOUNTS = 17000
KEYS_AN_ACCOUNT = 2
MS_A_SECOND = 1000.0
PAGE_BYTES = 4096
MEGABYTE = 1024 * 1024

_NUMBERS = itertools.count(1)


def _change():
    number = next(_NUMBERS)
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


async def _changes_a_second(cluster):
    until_s = time.monotonic() + RATE_S
    counts = []

    async def propose():
        count = 0
        while time.monotonic() < until_s:
            await cluster.leader.node.propose(_change())
            count += 1
        counts.append(count)

    await asyncio.gather(*(propose() for _ in range(PROPOSERS)))
    return sum(counts) / RATE_S


async def _in_force(cluster):
    """Return a table of times from accepted to in force everywhere."""
    observers = [
        await cluster.observe(f'vm{number}') for number in range(OBSERVERS)
    ]
    times_ms = []
    for _ in range(CHANGES):
        outcome = await observers[0].control_client.propose(_change())
        begun_s = time.monotonic()
        await asyncio.gather(
            *(
                o.control_client.wait_for_index(outcome.index)
                for o in observers
            )
        )
        times_ms.append((time.monotonic() - begun_s) * MS_A_SECOND)
        await asyncio.sleep(0.01)
    columns = (report.Column('p50', 'ms'), report.Column('max', 'ms'))
    rows = ((statistics.median(times_ms), max(times_ms)),)
    title = f'accepted to in force on {OBSERVERS} observers'
    return report.Table(title, columns, rows)


async def _catch_up(cluster):
    async with contextlib.AsyncExitStack() as stack:
        gone = await cluster.observe('vm-late', stack)
        missed_from = gone.view.index
    for _ in range(MISSED // PROPOSERS + 1):
        await asyncio.gather(
            *(cluster.leader.node.propose(_change()) for _ in range(PROPOSERS))
        )
    missed = cluster.leader.node.index - missed_from
    begun_s = time.monotonic()
    late = await cluster.observe('vm-late')
    await late.control_client.wait_for_index(cluster.leader.node.index)
    took_ms = (time.monotonic() - begun_s) * MS_A_SECOND
    columns = (
        report.Column('missed changes'),
        report.Column('time', 'ms'),
        report.Column('traffic', 'bytes'),
    )
    rows = ((missed, took_ms, late.relay.bytes),)
    title = 'catch-up of an observer that begins at nothing'
    return report.Table(title, columns, rows)


async def _observer_cost(cluster):
    found = await cluster.observe('vm-cost')
    while cluster.leader.node.state.servers.by_id:
        await asyncio.sleep(IDLE_S / 10)
    idle = await _bytes_a_second(found, 0)
    busy = await _bytes_a_second(found, BUSY_CHANGES_A_S, cluster)
    columns = (
        report.Column('changes a second'),
        report.Column('traffic', 'bytes/s'),
    )
    rows = ((0, idle), (BUSY_CHANGES_A_S, busy))
    return report.Table('what an observer costs', columns, rows)


async def _bytes_a_second(found, rate, cluster=None):
    before = found.relay.bytes
    begun_s = time.monotonic()
    while time.monotonic() - begun_s < IDLE_S:
        if rate:
            await cluster.leader.node.propose(_change())
        await asyncio.sleep(1 / rate if rate else IDLE_S)
    return (found.relay.bytes - before) / (time.monotonic() - begun_s)


def _memory():
    before = _resident_bytes()
    document = types.Document(
        version=1,
        accounts=tuple(_account(number) for number in range(ACCOUNTS)),
        models=(),
        routes=(),
        register=lookups.EMPTY_DOCUMENT.register,
        cut_on_withdrawal=False,
    )
    kept = lookups.Lookups(document)
    grown = (_resident_bytes() - before) / MEGABYTE
    columns = (
        report.Column('client accounts'),
        report.Column('keys'),
        report.Column('memory', 'MB'),
    )
    rows = ((ACCOUNTS, len(kept.account_ids_by_key_digest), grown),)
    return report.Table('a document and its lookups', columns, rows)


def _account(number):
    return types.ClientAccount(
        id=ids.AccountId(f'account-{number}'),
        rate=100.0,
        burst=1000,
        weight=1.0,
        key_digests=tuple(
            f'sha256:{number:032x}{key:032x}' for key in range(KEYS_AN_ACCOUNT)
        ),
    )


def _resident_bytes():
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


async def _measure(folder):
    tables = [_memory()]
    rates = []
    for members in (3, 5):
        async with clusters.started(folder, members) as cluster:
            rates.append((members, await _changes_a_second(cluster)))
            if members == 3:
                tables.append(await _in_force(cluster))
                tables.append(await _catch_up(cluster))
                tables.append(await _observer_cost(cluster))
    columns = (report.Column('members'), report.Column('changes', '1/s'))
    title = f'changes with fsync, {PROPOSERS} proposals at once'
    tables.append(report.Table(title, columns, tuple(rates)))
    return tables


def main():
    """Measure and print."""
    arguments = report.arguments(__doc__)
    with (
        tempfile.TemporaryDirectory() as folder,
        logbook.NullHandler().applicationbound(),
    ):
        tables = asyncio.run(_measure(folder))
    report.show(tables, arguments.json)


if __name__ == '__main__':
    sys.exit(main())
