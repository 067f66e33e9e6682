"""A pool of runners that crash on one part of a prompt."""

import functools

from bulrushrudder.tests.builders import runners

PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'
EVENTS = 3
STEADY_ID = 'i-steady'


class CrashingPool:
    """Runners of one stage; each that crashes is replaced by another one.

    :param fleet: the PlatformFleet.
    :param part: id of the part that crashes a runner which begins an
        answer on it.
    :param stage: the stage, prefill or decode; one runner of the other
        stage never crashes.
    :ivar arrivals: how many calls with the part reached such a runner.
    :ivar crashes: how many runners have crashed.
    """

    def __init__(self, fleet, part, stage='decode'):
        self._fleet = fleet
        self._part = part
        self._stage = stage
        self._steady_stage = 'decode' if stage == 'prefill' else 'prefill'
        self._steady = None
        self._started = 0
        self._runners_by_id = {}
        self._crashed_ids = set()
        self.arrivals = 0
        self.crashes = 0

    async def start(self, size):
        """Start the steady runner and some that crash."""
        self._steady = await self._fleet.add_runner(
            _answer, STEADY_ID, stage=self._steady_stage
        )
        for _ in range(size):
            await self._add_runner()
        return self

    async def renew(self):
        """Replace crashed runners and renew the announcements of others."""
        for crashed_id in tuple(self._crashed_ids):
            crashed = self._runners_by_id.pop(crashed_id)
            await self._fleet.send_heartbeat(
                crashed, crashed_id, state='draining', stage=self._stage
            )
            await self._add_runner()
        self._crashed_ids.clear()
        await self._fleet.send_heartbeat(
            self._steady, STEADY_ID, stage=self._steady_stage
        )
        for runner_id, runner in self._runners_by_id.items():
            await self._fleet.send_heartbeat(
                runner, runner_id, stage=self._stage
            )

    async def _add_runner(self):
        self._started += 1
        runner_id = f'i-{self._started}'
        self._runners_by_id[runner_id] = await self._fleet.add_runner(
            functools.partial(self._reply, runner_id),
            runner_id,
            stage=self._stage,
        )

    def _reply(self, runner_id, call):
        entries = call.headers['Prompt-Prefix'].split(',')
        if self._part not in [e.partition(':')[0] for e in entries]:
            return _answer(call)
        self.arrivals += 1
        self.crashes += 1
        self._crashed_ids.add(runner_id)
        head = [] if self._stage == 'prefill' else [runners.stream_head()]
        return [*head, self._runners_by_id[runner_id].crash]


class ServicePool:
    """Plain servers that crash on one body; a crashed one is replaced.

    :param fleet: the PlatformFleet.
    :param body: bytes of the body of calls that crash a server.
    :ivar arrivals: how many such calls reached a server.
    :ivar crashes: how many servers have crashed.
    """

    def __init__(self, fleet, body):
        self._fleet = fleet
        self._body = body
        self._started = 0
        self._runners_by_id = {}
        self._crashed_ids = set()
        self.arrivals = 0
        self.crashes = 0

    async def start(self, size):
        """Start some servers."""
        for _ in range(size):
            await self._add_runner()

    async def renew(self):
        """Replace crashed servers and renew the announcements of others."""
        for crashed_id in tuple(self._crashed_ids):
            crashed = self._runners_by_id.pop(crashed_id)
            await self._announce(crashed, crashed_id, state='draining')
            await self._add_runner()
        self._crashed_ids.clear()
        for runner_id, runner in self._runners_by_id.items():
            await self._announce(runner, runner_id)

    async def _announce(self, runner, runner_id, **changes):
        await self._fleet.send_heartbeat(
            runner, runner_id, service='portal', stage=None, slots=6, **changes
        )

    async def _add_runner(self):
        self._started += 1
        runner_id = f'i-plain-{self._started}'
        self._runners_by_id[runner_id] = await self._fleet.add_runner(
            functools.partial(self._reply, runner_id),
            runner_id,
            service='portal',
            stage=None,
            slots=6,
        )

    def _reply(self, runner_id, call):
        if call.body != self._body:
            return [runners.answer(b'mine')]
        self.arrivals += 1
        self.crashes += 1
        self._crashed_ids.add(runner_id)
        return [self._runners_by_id[runner_id].crash]


def _answer(call):
    if call.headers.get('Stage') == 'prefill':
        return [runners.answer(PREFILL_REPLY)]
    return [runners.stream(1, EVENTS)]
