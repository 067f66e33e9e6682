"""Measures the decisions of a coordinator by servers and queue length.

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

SERVER_COUNTS = (10, 100, 1000)
QUEUE_LENGTHS = (10, 100, 1000, 10000)
ACCOUNTS = 50
PLACES_PER_SERVER = 20
ZONES = 3
EXCHANGE_INTERVAL_S = 1.0
PREFILL_SERVER_SHARE = 0.2
OWNER = ids.Owner(ids.VmId('vm'), 1)


class SaturatedCoordinator:
    """A coordinator with all places granted and a queue of requests.

    :param count: number of servers.
    :param queued: number of queued requests.
    """

    def __init__(self, count, queued):
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)
        self._now_s = 0.0
        self._last_call = 0
        self._granted_holds = []
        prefills = max(1, int(count * PREFILL_SERVER_SHARE))
        pool = [_server('prefill', n) for n in range(prefills)]
        pool += [_server('decode', n) for n in range(count - prefills)]
        self.coordinator.handle(events.ServersChanged(tuple(pool)), 0.0)
        places = (count - prefills) * PLACES_PER_SERVER
        while (
            self.coordinator.queue_length < queued
            or len(self._granted_holds) < places
        ):
            if len(self._granted_holds) < places:
                self._now_s += 1.0
            self.request_place()

    def request_place(self):
        """Request one place."""
        self._last_call += 1
        account = f'account-{self._last_call % ACCOUNTS}'
        self._handle(
            events.PlacementRequested(
                call=self._last_call,
                hold=events.HoldId(OWNER, self._last_call),
                account=account,
                weight=1.0,
                zone=ids.Zone(f'zone-{self._last_call % ZONES}'),
                prompt_tokens=1000,
                output_tokens=200,
                interactive=self._last_call % 2 == 0,
                patience_s=1e9,
                first_token_s=1e9,
                between_tokens_s=0.1,
            )
        )

    def release_and_request(self):
        """Release the oldest grant, which admits the next, and request."""
        self._now_s += EXCHANGE_INTERVAL_S
        self._handle(events.PlaceReleased(self._granted_holds.pop(0)))
        self.request_place()

    def _handle(self, event):
        for action in self.coordinator.handle(event, self._now_s):
            match action:
                case actions.Grant(hold=hold):
                    self._granted_holds.append(hold)


def _server(kind, number):
    return servers.BackendServer(
        id=ids.ServerId(f'{kind}-{number:04}'),
        incarnation=1,
        kind=kind,
        host='127.0.0.1',
        port=9000,
        zone=ids.Zone(f'zone-{number % ZONES}'),
        serves=('model',),
        places=PLACES_PER_SERVER,
        memory_tokens=480000,
        link_tokens_per_s=1e6,
        checks_fencing=True,
    )


def measure(count, queued, exchanges):
    """Return decisions per second; each exchange makes two.

    :param count: number of servers.
    :param queued: number of queued requests.
    :param exchanges: number of releases, each followed by a request.
    """
    saturated = SaturatedCoordinator(count, queued)
    started_s = time.perf_counter()
    for _ in range(exchanges):
        saturated.release_and_request()
    return 2 * exchanges / (time.perf_counter() - started_s)


def decisions(exchanges=2000, json=False):
    """Measure decisions per second on one core.

    :param exchanges: releases of each run, each followed by a request.
    :param json: print JSON instead of a table.
    """
    rows = tuple(
        (count, queued, round(measure(count, queued, exchanges)))
        for count in SERVER_COUNTS
        for queued in QUEUE_LENGTHS
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
