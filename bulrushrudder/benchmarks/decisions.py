"""What a decision of a coordinator costs, by servers and by queue.

Usage: python -m bulrushrudder.benchmarks.decisions [--json]
"""

import time

import fire

from bulrushrudder.benchmarks import report
from bulrushrudder.core import ids
from bulrushrudder.placement import actions
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.state import servers

SERVERS = (10, 100, 1000)
QUEUES = (10, 100, 1000, 10000)
ACCOUNTS = 50
PLACES = 20
ZONES = 3
STEP_S = 1.0
PREFILL_SHARE = 0.2
OWNER = ids.Owner(ids.VmId('vm'), 1)


class Saturated:
    """A cell with all places held and a queue before it.

    :param count: of servers.
    :param queued: questions that wait.
    """

    def __init__(self, count, queued):
        self.cell = coordinator.Coordinator(max_booked_ahead=0)
        self._now_s = 0.0
        self._last = 0
        self._held = []
        prefills = max(1, int(count * PREFILL_SHARE))
        found = [_server('prefill', n) for n in range(prefills)]
        found += [_server('decode', n) for n in range(count - prefills)]
        self.cell.handle(events.ServersChanged(tuple(found)), 0.0)
        places = (count - prefills) * PLACES
        while self.cell.queue_length < queued or len(self._held) < places:
            if len(self._held) < places:
                self._now_s += 1.0
            self.ask()

    def ask(self):
        """Ask for one place."""
        self._last += 1
        account = f'account-{self._last % ACCOUNTS}'
        self._take(
            events.PlacementRequested(
                call=self._last,
                hold=events.HoldId(OWNER, self._last),
                account=account,
                weight=1.0,
                zone=ids.Zone(f'zone-{self._last % ZONES}'),
                prompt_tokens=1000,
                output_tokens=200,
                interactive=self._last % 2 == 0,
                patience_s=1e9,
                first_token_s=1e9,
                between_tokens_s=0.1,
            )
        )

    def exchange(self):
        """Release the oldest grant, which grants another, and ask."""
        self._now_s += STEP_S
        self._take(events.PlaceReleased(self._held.pop(0)))
        self.ask()

    def _take(self, event):
        for action in self.cell.handle(event, self._now_s):
            match action:
                case actions.Grant(hold=hold):
                    self._held.append(hold)


def _server(kind, number):
    return servers.BackendServer(
        id=ids.ServerId(f'{kind}-{number:04}'),
        incarnation=1,
        kind=kind,
        host='127.0.0.1',
        port=9000,
        zone=ids.Zone(f'zone-{number % ZONES}'),
        serves=('model',),
        places=PLACES,
        memory_tokens=480000,
        link_tokens_per_s=1e6,
        checks_fencing=True,
    )


def measure(count, queued, exchanges):
    """Return decisions a second; each exchange makes two."""
    found = Saturated(count, queued)
    begin_s = time.perf_counter()
    for _ in range(exchanges):
        found.exchange()
    return 2 * exchanges / (time.perf_counter() - begin_s)


def decisions(exchanges=2000, json=False):
    """Measure decisions a second on one core.

    :param exchanges: releases and questions of each run.
    :param json: print JSON instead of a table.
    """
    rows = tuple(
        (count, queued, round(measure(count, queued, exchanges)))
        for count in SERVERS
        for queued in QUEUES
    )
    columns = (
        report.Column('servers'),
        report.Column('queued'),
        report.Column('decisions', '1/s'),
    )
    report.show([report.Table('Decisions on one core', columns, rows)], json)


def main(arguments=None):
    """Run the benchmark."""
    fire.Fire(decisions, command=arguments)


if __name__ == '__main__':
    main()
