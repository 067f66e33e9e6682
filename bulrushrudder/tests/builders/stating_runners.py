"""Runners whose answers state something about the runner itself."""

import asyncio
import functools

from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines

PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'
EVENTS = 3
HEARTBEAT_INTERVAL_S = 0.5


def configuration():
    """Return a configuration with routes to engines and a plain service."""
    content = platform.configuration()
    content['routes'].append(
        {
            **platform.ROUTE,
            'name': 'r-lookup',
            'path_prefix': '/lookup/',
            'route_type': 'idempotent',
            'timeout_ms': 2000,
            'target_latency_ms': 500,
            'service': 'portal',
            'resumable': False,
        }
    )
    return content


class StatingPool:
    """Runners that add headers to their answers and count arrivals.

    :param fleet: the PlatformFleet.
    :ivar stated_by_id: headers that the runner adds, by its id; tests
        change them.
    :ivar refusing: ids of runners that refuse all requests with 503.
    :ivar arrivals_by_id: monotonic seconds of the requests it got.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._fields_by_id = {}
        self._runners_by_id = {}
        self.stated_by_id = {}
        self.refusing = set()
        self.arrivals_by_id = {}

    async def add_engine(self, runner_id, stage, **fields):
        """Start an engine of a stage and announce it."""
        await self._add(runner_id, {'stage': stage, **fields})

    async def add_plain(self, runner_id):
        """Start a server of the plain service and announce it."""
        fields = {'service': 'portal', 'stage': None, 'slots': 6}
        await self._add(runner_id, fields)

    async def keep_announcing(self):
        """Renew the announcements until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for runner_id, runner in self._runners_by_id.items():
                await self._fleet.send_heartbeat(
                    runner, runner_id, **self._fields_by_id[runner_id]
                )

    def arrivals(self, runner_id, since_s=0.0):
        """Return how many requests a runner got since a time."""
        return sum(
            arrived_s >= since_s
            for arrived_s in self.arrivals_by_id[runner_id]
        )

    def most_in(self, runner_id, window_s, since_s):
        """Return the most requests a runner got in any window of a length.

        :param since_s: monotonic seconds before which none counts.
        """
        times = [t for t in self.arrivals_by_id[runner_id] if t >= since_s]
        return max(
            (sum(t <= u < t + window_s for u in times) for t in times),
            default=0,
        )

    async def _add(self, runner_id, fields):
        self._fields_by_id[runner_id] = fields
        self.stated_by_id[runner_id] = ()
        self.arrivals_by_id[runner_id] = []
        self._runners_by_id[runner_id] = await self._fleet.add_runner(
            functools.partial(self._reply, runner_id), runner_id, **fields
        )

    def _reply(self, runner_id, call):
        stated = self.stated_by_id[runner_id]
        if 'Attempt-Id' not in call.headers:
            return [runners.answer(headers=stated)]
        now_s = asyncio.get_running_loop().time()
        self.arrivals_by_id[runner_id].append(now_s)
        attempt = call.headers['Attempt-Id']
        if runner_id in self.refusing:
            return [
                runners.answer(
                    status='503 Service Unavailable',
                    headers=[('Not-Executed', '1'), *stated],
                    attempt=attempt,
                )
            ]
        if call.headers.get('Stage') == 'prefill':
            return [runners.answer(PREFILL_REPLY, '200 OK', stated, attempt)]
        if 'Prompt-Prefix' in call.headers and call.target.startswith(
            '/drafts'
        ):
            return [_stream(stated, attempt)]
        return [runners.answer(b'done', '200 OK', stated, attempt)]


def _stream(stated, attempt):
    head = runners.stream_head(attempt)
    lines = ''.join(f'{name}: {value}\r\n' for name, value in stated).encode()
    pieces = [
        scripted_engines.chunk(runners.event(number))
        for number in range(1, EVENTS + 1)
    ]
    return (
        head[:-2]
        + lines
        + b'\r\n'
        + b''.join(pieces)
        + scripted_engines.chunk(b'')
    )
