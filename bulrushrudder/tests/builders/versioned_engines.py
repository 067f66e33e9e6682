"""Engines of several software versions that break off their streams."""

import asyncio
import functools

from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines
from bulrushrudder.tests.builders import stating_runners

LAST_EVENT = 5
EVENTS_BEFORE_BREAK = 2


class VersionedEngines:
    """Decode engines by id, and one engine that prefills.

    Each event names the software version of its engine.

    :param fleet: the PlatformFleet.
    :ivar breaking: ids of the engines that break off each stream.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._runners_by_id = {}
        self._fields_by_id = {}
        self.breaking = set()

    async def start(self, versions_by_id):
        """Start the prefill engine and decode engines.

        :param versions_by_id: software versions of the decode engines.
        """
        await self._add('i-prefill', 'prefill', 'v1')
        for engine_id, version in versions_by_id.items():
            await self.add(engine_id, version)

    async def add(self, engine_id, version):
        """Start a decode engine."""
        await self._add(engine_id, 'decode', version)

    async def leave(self, engine_id):
        """Announce that an engine is leaving, and wait until it is known."""
        runner = self._runners_by_id.pop(engine_id)
        await self._fleet.send_heartbeat(
            runner,
            engine_id,
            **self._fields_by_id[engine_id],
            state='draining',
        )
        await self._fleet.wait_until(
            lambda: engine_id not in self._fleet.entry.view.state.servers.by_id
        )

    async def keep_announcing(self):
        """Renew the announcements until cancelled."""
        while True:
            await asyncio.sleep(stating_runners.HEARTBEAT_INTERVAL_S)
            for engine_id, runner in tuple(self._runners_by_id.items()):
                await self._fleet.send_heartbeat(
                    runner, engine_id, **self._fields_by_id[engine_id]
                )

    async def _add(self, engine_id, stage, version):
        fields = {'stage': stage, 'version': version}
        self._fields_by_id[engine_id] = fields
        self._runners_by_id[engine_id] = await self._fleet.add_runner(
            functools.partial(self._reply, engine_id), engine_id, **fields
        )

    def _reply(self, engine_id, call):
        attempt = call.headers.get('Attempt-Id')
        if attempt is None:
            return [runners.answer()]
        if call.headers.get('Stage') == 'prefill':
            reply = stating_runners.PREFILL_REPLY
            return [runners.answer(reply, attempt=attempt)]
        version = self._fields_by_id[engine_id]['version']
        first = int(call.headers.get('Last-Event-Id', 0)) + 1
        head = runners.stream_head(attempt)
        if engine_id in self.breaking:
            last = first + EVENTS_BEFORE_BREAK - 1
            return [head + _events(first, last, version), _pause, _close]
        ending = scripted_engines.chunk(b'')
        return [head + _events(first, LAST_EVENT, version) + ending]


def _events(first, last, version):
    return b''.join(
        scripted_engines.chunk(f'id: {number}\ndata: {version}\n\n'.encode())
        for number in range(first, last + 1)
    )


async def _pause(writer):
    await asyncio.sleep(0.05)


async def _close(writer):
    writer.close()
