"""Several entry processes whose paths to runners a test can cut.

Each process has its own VM, availability zone and network; all share one
loop, one control process and the runners.
"""

import asyncio
import contextlib
import dataclasses
import itertools

import aiohttp

from bulrushrudder.core import ids
from bulrushrudder.entry import process as entry_process
from bulrushrudder.platform import entry_api
from bulrushrudder.tests.builders import cuttable_network
from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines
from bulrushrudder.tests.builders import settings as builders

ZONES = ('a', 'b', 'c')
CALL_TIMEOUT_S = 20.0
PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'
EVENTS = 6
EVENT_INTERVAL_S = 0.02
STREAM = b''.join(runners.event(number) for number in range(1, EVENTS + 1))
# Status of a call whose connection ended without a whole answer.
BROKEN = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What a client saw of one call.

    :param status: BROKEN without a whole answer.
    """

    attempt: str
    status: int
    body: bytes
    took_s: float


class Entry:
    """An entry process of the fleet.

    :ivar process: the EntryProcess.
    :ivar network: its CuttableNetwork.
    """

    def __init__(self, fleet, process, network, address, stack):
        self.process = process
        self.network = network
        self._fleet = fleet
        self._address = address
        self._stack = stack

    async def call(self, path, **headers):
        """Call a path as a client does; return what was Seen."""
        loop = asyncio.get_running_loop()
        attempt = self._fleet.next_attempt()
        began_s = loop.time()
        status, body = BROKEN, b''
        with contextlib.suppress(aiohttp.ClientError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self.connect(path, attempt, **headers) as response:
                    body = await response.read()
                    status = response.status
        return Seen(attempt, status, body, loop.time() - began_s)

    def connect(self, path, attempt, **headers):
        """Return the context manager of the response to a call."""
        return self._fleet.call(
            path,
            headers={'Attempt-Id': attempt, **headers},
            address=self._address,
        )

    async def call_for(self, seconds, path, interval_s=0.1):
        """Call a path at an interval for some seconds.

        :returns: the list of what was Seen.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        calling = []
        while loop.time() < end_s:
            calling.append(asyncio.create_task(self.call(path)))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*calling)

    async def stop(self):
        """Stop the process as after SIGTERM."""
        await self.process.leave()
        await self.process.stop()
        await self._stack.aclose()

    async def kill(self):
        """End the process without a stop."""
        self.network.cut(cuttable_network.REFUSED)
        await self._stack.aclose()


class EntriesFleet(platform_fleet.PlatformFleet):
    """A PlatformFleet with several entry processes.

    :ivar entries: the Entries; the first is the entry process that every
        PlatformFleet has.
    """

    def __init__(self, stack, size, **entry_changes):
        super().__init__(
            stack, cuttable_network.CuttableNetwork(), **entry_changes
        )
        self._size = size
        self._numbers = itertools.count(1)
        self.entries = []

    async def start(self):
        """Start all processes, and wait until they know one another."""
        await super().start()
        await self._network.start(self._stack)
        address = self.settings.entry.callers
        self.entries = [
            Entry(self, self.entry, self._network, address, self._entry_stack)
        ]
        for number in range(1, self._size):
            self.entries.append(await self._add_entry(number))
        status = await self.put_configuration(configuration())
        assert status == 200, status
        await self.wait_until(
            lambda: all(
                len(entry.process.view.state.sessions.by_vm) == self._size
                and entry.process.view.lookups.document.version
                for entry in self.entries
            )
        )
        return self

    async def _add_entry(self, number):
        stack = await self._stack.enter_async_context(
            contextlib.AsyncExitStack()
        )
        callers, ready, shown, inner = builders.addresses(4)
        settings = dataclasses.replace(
            self.settings,
            vm=ids.VmId(f'edge-{number + 1}'),
            zone=ids.Zone(ZONES[number]),
            entry=dataclasses.replace(
                self.settings.entry,
                callers=callers,
                ready=ready,
                metrics=shown,
                inner=inner,
            ),
        )
        network = await cuttable_network.CuttableNetwork().start(self._stack)
        process = entry_process.EntryProcess(
            settings, entry_api.Interface(), network
        )
        await process.start(stack)
        return Entry(self, process, network, callers, stack)

    def next_attempt(self):
        """Return an attempt id that no other call has."""
        return f'{next(self._numbers):016x}'

    async def add_lasting_runner(self, reply, server_id, **changes):
        """Start a runner and wait until all entry processes know it."""
        runner = await super().add_lasting_runner(reply, server_id, **changes)
        await self.wait_until(
            lambda: all(
                server_id in entry.process.view.state.servers.by_id
                for entry in self.entries
            )
        )
        return runner

    async def add_portal_runner(self, reply, server_id, zone='a'):
        """Start a runner of the plain service."""
        return await self.add_lasting_runner(
            reply,
            server_id,
            zone=zone,
            service='portal',
            stage=None,
            slots=64,
        )

    async def add_runners(self):
        """Start sound runners of all kinds in two zones.

        :returns: the Runners by id.
        """
        by_id = {}
        for zone in ZONES[:2]:
            portal, decode = f'i-portal-{zone}', f'i-decode-{zone}'
            by_id[portal] = await self.add_portal_runner(book, portal, zone)
            by_id[decode] = await self.add_lasting_runner(
                generate, decode, zone=zone
            )
        by_id['i-prefill'] = await self.add_lasting_runner(
            generate, 'i-prefill', stage='prefill'
        )
        return by_id


@contextlib.asynccontextmanager
async def running(size, **entry_changes):
    """Start an EntriesFleet; stop it on exit."""
    async with contextlib.AsyncExitStack() as stack:
        yield await EntriesFleet(stack, size, **entry_changes).start()


def configuration():
    """Return a configuration with routes of all kinds.

    /drafts/ is a stream that may be resumed and /once/ one that may not;
    /find/ may be repeated and /book/ may not.
    """
    content = platform.configuration()
    plain = {
        **platform.ROUTE,
        'service': 'portal',
        'resumable': False,
        'timeout_ms': 3000,
        'target_latency_ms': 200,
    }
    content['routes'] += [
        {**platform.ROUTE, 'name': 'r-once', 'path_prefix': '/once/'},
        {
            **plain,
            'name': 'r-find',
            'path_prefix': '/find/',
            'route_type': 'idempotent',
        },
        {
            **plain,
            'name': 'r-book',
            'path_prefix': '/book/',
            'route_type': 'non_idempotent',
            'timeout_ms': 14000,
            'max_attempts': 1,
        },
    ]
    content['routes'][1]['resumable'] = False
    content['tenants'][0] |= {'rate_per_s': 10**6, 'burst': 10**6}
    return content


def is_run(call):
    """Return whether a call is a run, neither a prefill nor an order."""
    stage = call.headers.get('Stage')
    return 'Attempt-Id' in call.headers and stage != 'prefill'


def book(call):
    """Answer a call of the plain service with its attempt id."""
    attempt = call.headers['Attempt-Id']
    return [runners.answer(attempt.encode(), attempt=attempt)]


def generate(call):
    """Prefill, free the result of one, or decode with short pauses."""
    attempt = call.headers.get('Attempt-Id', '')
    if call.method == 'DELETE':
        return [runners.answer(attempt='')]
    if call.headers.get('Stage') == 'prefill':
        return [runners.answer(PREFILL_REPLY, attempt=attempt)]
    first = int(call.headers.get('Last-Event-Id', 0)) + 1
    steps = [runners.stream_head(attempt)]
    for number in range(first, EVENTS + 1):
        steps += [pause, scripted_engines.chunk(runners.event(number))]
    return [*steps, scripted_engines.chunk(b'')]


def slowly(seconds):
    """Return a reply function of runners that takes some seconds a run."""

    async def work(writer):
        await asyncio.sleep(seconds)

    def reply(call):
        if not is_run(call):
            return generate(call)
        if call.target.startswith(('/find/', '/book/')):
            return [work, *book(call)]
        head, *rest = generate(call)
        return [head, *rest[:2], work, *rest[2:]]

    return reply


async def pause(writer):
    """Wait for the time between two events; a step of an answer."""
    await asyncio.sleep(EVENT_INTERVAL_S)
