"""Calculates resource use at the target size from measured slopes.

Usage: python -m bulrushrudder.benchmarks.capacity [--json]
"""

import resource
import sys

from bulrushrudder.benchmarks import report
from bulrushrudder.capacity import cpu_time
from bulrushrudder.capacity import memory
from bulrushrudder.capacity import target
from bulrushrudder.capacity import traffic
from bulrushrudder.entry import process

KILOBYTE = 1024
MEGABYTE = 1024 * 1024
US_PER_S = 1e6
# Calls in the register at the target size, which keeps each for a day.
INTENTS_PER_DAY = round(target.INTENTS_PER_S * target.DAY_S)


def main(arguments=None):
    """Measure and print all tables."""
    options = report.parse_arguments(__doc__, arguments)
    tables = [
        flow_table('A node at the target size', traffic.node_flows()),
        flow_table(
            'A role host at the target size', traffic.role_host_flows()
        ),
        memory_table(),
        processor_table(),
    ]
    report.show(tables, options.json)


def flow_table(title, flows):
    """Return a table of flows with their sum."""
    rows = [
        (f.role, f.name, f.size, f.per_s, f.bytes_per_s, f.mechanism)
        for f in flows
    ]
    bytes_per_s = sum(f.bytes_per_s for f in flows)
    rows.append(('', 'all', '', '', bytes_per_s, _budget_verdict(bytes_per_s)))
    return report.Table(
        title,
        (
            report.Column('role'),
            report.Column('message'),
            report.Column('size', 'bytes'),
            report.Column('rate', '1/s'),
            report.Column('traffic', 'bytes/s'),
            report.Column('mechanism'),
        ),
        tuple(rows),
    )


def memory_table():
    """Return a table of memory slopes and their values at the target."""
    base = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KILOBYTE
    slopes_by_name = {
        'client account, key and row': (
            memory.measure_accounts(),
            target.ACCOUNTS,
        ),
        'open session': (memory.measure_sessions(), target.NODES),
        'backend server': (memory.measure_servers(), target.BACKEND_SERVERS),
        'call that runs at most once': (
            memory.measure_intents(),
            INTENTS_PER_DAY,
        ),
    }
    rows = [(f'process with {process.__name__}', '', '', base / MEGABYTE, '')]
    for name, (slope, count) in slopes_by_name.items():
        at_target = slope.predict(count) / MEGABYTE
        linearity = 'straight' if slope.is_linear else 'not straight'
        rows.append((name, slope.per_unit, count, at_target, linearity))
    return report.Table(
        'Memory of a VM that observes the log',
        (
            report.Column('state'),
            report.Column('slope', 'bytes'),
            report.Column('count'),
            report.Column('at the target size', 'MB'),
            report.Column('line'),
        ),
        tuple(rows),
    )


def processor_table():
    """Return a table of processor time and its share of a core."""
    change = cpu_time.measure_document_change()
    choice = cpu_time.measure_ranking_choice()
    change_s = change.predict(target.ACCOUNTS)
    message_s = cpu_time.measure_message_s()
    host_messages = 6 * target.ROLE_HOST_REQUESTS_PER_S
    node_messages = 6 * target.NODE_REQUESTS_PER_S
    busy_rate = target.DOCUMENT_CHANGES_PER_S * target.BUSY_HOUR_FACTOR
    rows = (
        _core_share_row(
            'document change', change_s, target.DOCUMENT_CHANGES_PER_S
        ),
        _core_share_row('document change, busy hour', change_s, busy_rate),
        _core_share_row(
            'change of a backend server',
            cpu_time.measure_server_change().predict(target.BACKEND_SERVERS),
            2 * target.RESTARTS_PER_S,
        ),
        _core_share_row('messages of a node', message_s, node_messages),
        _core_share_row('messages of a role host', message_s, host_messages),
        _core_share_row(
            'choice among 15 hosts',
            choice.predict(target.ROLE_HOSTS),
            4 * target.NODE_REQUESTS_PER_S,
        ),
        _core_share_row(
            'choice among 400 VMs',
            choice.predict(target.NODES),
            4 * target.NODE_REQUESTS_PER_S,
        ),
    )
    return report.Table(
        'Processor time at the target size',
        (
            report.Column('step'),
            report.Column('time', 'us'),
            report.Column('rate', '1/s'),
            report.Column('share', '% of a core'),
        ),
        rows,
    )


def _core_share_row(name, seconds, per_s):
    return name, seconds * US_PER_S, per_s, 100 * seconds * per_s


def _budget_verdict(bytes_per_s):
    if bytes_per_s <= target.NODE_BYTES_PER_S:
        return f'within {target.NODE_BYTES_PER_S}'
    factor = bytes_per_s / target.NODE_BYTES_PER_S
    return f'MISSED: {factor:.1f} times {target.NODE_BYTES_PER_S}'


if __name__ == '__main__':
    main(sys.argv[1:])
