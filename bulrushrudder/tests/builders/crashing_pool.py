"""A pool of decode runners that crash on one part of a prompt."""

import functools

from bulrushrudder.tests.builders import runners

PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'
EVENTS = 3
PREFILL_ID = 'i-prefill'


class CrashingPool:
    """Decode runners; each that crashes is replaced by another one.

    :param fleet: the PlatformFleet.
    :param part: id of the part that crashes a runner which begins an
        answer on it.
    :ivar arrivals: how many calls with the part reached a decode runner.
    :ivar crashes: how many runners have crashed.
    """

    def __init__(self, fleet, part):
        self._fleet = fleet
        self._part = part
        self._prefill = None
        self._started = 0
        self._decodes_by_id = {}
        self._crashed_ids = set()
        self.arrivals = 0
        self.crashes = 0

    async def start(self, size):
        """Start a prefill runner and some decode runners."""
        self._prefill = await self._fleet.add_runner(
            _prefill, PREFILL_ID, stage='prefill'
        )
        for _ in range(size):
            await self._add_decode()
        return self

    async def renew(self):
        """Replace crashed runners and renew the announcements of others."""
        for crashed_id in tuple(self._crashed_ids):
            crashed = self._decodes_by_id.pop(crashed_id)
            await self._fleet.send_heartbeat(
                crashed, crashed_id, state='draining'
            )
            await self._add_decode()
        self._crashed_ids.clear()
        await self._fleet.send_heartbeat(
            self._prefill, PREFILL_ID, stage='prefill'
        )
        for decode_id, decode in self._decodes_by_id.items():
            await self._fleet.send_heartbeat(decode, decode_id)

    async def _add_decode(self):
        self._started += 1
        decode_id = f'i-{self._started}'
        self._decodes_by_id[decode_id] = await self._fleet.add_runner(
            functools.partial(self._reply, decode_id), decode_id
        )

    def _reply(self, decode_id, call):
        entries = call.headers['Prompt-Prefix'].split(',')
        if self._part not in [e.partition(':')[0] for e in entries]:
            return [runners.stream(1, EVENTS)]
        self.arrivals += 1
        self.crashes += 1
        self._crashed_ids.add(decode_id)
        return [runners.stream_head(), self._decodes_by_id[decode_id].crash]


def _prefill(call):
    return [runners.answer(PREFILL_REPLY)]
