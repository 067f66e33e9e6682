"""Works the target size out from measured slopes.

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
MICROSECONDS = 1e6
# Calls that the register holds for a day, at the target size.
INTENTS = round(target.INTENTS_PER_S * target.DAY_S)


def main(arguments=None):
    """Measure and print all tables."""
    given = report.arguments(__doc__, arguments)
    tables = [
        flow_table('A node at the target size', traffic.node_flows()),
        flow_table(
            'A role host at the target size', traffic.role_host_flows()
        ),
        memory_table(),
        processor_table(),
    ]
    report.show(tables, given.json)


def flow_table(title, found):
    """Return a table of flows with their sum."""
    rows = [
        (f.role, f.name, f.size, f.per_s, f.bytes_per_s, f.mechanism)
        for f in found
    ]
    total = sum(f.bytes_per_s for f in found)
    rows.append(('', 'all', '', '', total, _verdict(total)))
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
    """Return a table of memory slopes and what they come to."""
    base = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KILOBYTE
    slopes_by_name = {
        'client account, key and row': (
            memory.measure_accounts(),
            target.ACCOUNTS,
        ),
        'open session': (memory.measure_sessions(), target.NODES),
        'backend server': (memory.measure_servers(), target.BACKEND_SERVERS),
        'call that runs at most once': (memory.measure_intents(), INTENTS),
    }
    rows = [(f'process with {process.__name__}', '', '', base / MEGABYTE, '')]
    for name, (slope, count) in slopes_by_name.items():
        at_target = slope.at(count) / MEGABYTE
        straight = 'straight' if slope.straight else 'not straight'
        rows.append((name, slope.per_unit, count, at_target, straight))
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
    """Return a table of processor time."""
    change = cpu_time.measure_document_change()
    choice = cpu_time.measure_ranking_choice()
    change_s = change.at(target.ACCOUNTS)
    message_s = cpu_time.measure_message_s()
    host_messages = 6 * target.ROLE_HOST_REQUESTS_PER_S
    node_messages = 6 * target.NODE_REQUESTS_PER_S
    busy_rate = target.DOCUMENT_CHANGES_PER_S * target.BUSY_HOUR_FACTOR
    rows = (
        _share('document change', change_s, target.DOCUMENT_CHANGES_PER_S),
        _share('document change, busy hour', change_s, busy_rate),
        _share(
            'change of a backend server',
            cpu_time.measure_server_change().at(target.BACKEND_SERVERS),
            2 * target.RESTARTS_PER_S,
        ),
        _share('messages of a node', message_s, node_messages),
        _share('messages of a role host', message_s, host_messages),
        _share(
            'choice among 15 hosts',
            choice.at(target.ROLE_HOSTS),
            4 * target.NODE_REQUESTS_PER_S,
        ),
        _share(
            'choice among 400 VMs',
            choice.at(target.NODES),
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


def _share(name, seconds, per_s):
    return name, seconds * MICROSECONDS, per_s, 100 * seconds * per_s


def _verdict(total):
    if total <= target.NODE_BYTES_PER_S:
        return f'within {target.NODE_BYTES_PER_S}'
    factor = total / target.NODE_BYTES_PER_S
    return f'MISSED: {factor:.1f} times {target.NODE_BYTES_PER_S}'


if __name__ == '__main__':
    main(sys.argv[1:])
