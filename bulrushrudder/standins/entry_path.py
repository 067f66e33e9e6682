"""The request path of entry processes without a control process.

All parts run in one process. The callers' interface, engine clients and
cancellation are the real ones; the coordinator, the authority and the
log are local replacements, so that faults on the request path can be
tested and measured in isolation.
"""

import asyncio
import dataclasses
import json
import logging
import random

import aiohttp
from aiohttp import web
from returns import result

from bulrushrudder.backpressure import table
from bulrushrudder.config import settings
from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.documents import differences
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.engines import client
from bulrushrudder.entry import access
from bulrushrudder.entry import backpressure_monitor
from bulrushrudder.entry import cancelling
from bulrushrudder.entry import frontend
from bulrushrudder.entry import shared_services
from bulrushrudder.lifecycle import job as jobs
from bulrushrudder.metrics import entry as metrics_entry
from bulrushrudder.observers import view
from bulrushrudder.protocol import place_messages
from bulrushrudder.standins import engine
from bulrushrudder.standins import faulty_engine
from bulrushrudder.state import documents as state_documents
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.utils import http_listener
from bulrushrudder.utils import ports
from bulrushrudder.utils import tasks
from bulrushrudder.utils import web as web_listeners

PLACE_POLL_INTERVAL_S = 0.01
CONFIRM_INTERVAL_S = 0.5
RESTART_DELAY_S = 0.2

_SILENT_LOGGER = logging.Logger('aiohttp.server', logging.CRITICAL)


class LocalLog:
    """A log that commits immediately; all entries share one view."""

    def __init__(self):
        self.view = view.View(types.Environment.PRODUCTION)

    def commit(self, command):
        """Apply a command and return its Accepted."""
        index = self.view.index + 1
        self.view.apply(index, command)
        return results.Accepted(index)

    async def propose(self, command):
        """Commit a command and return its outcome, as ControlClient does."""
        await asyncio.sleep(0)
        return self.commit(command)

    async def wait_for_index(self, index):
        """Return at once: the shared view is always up to date."""

    async def keep_view_fresh(self):
        """Confirm the freshness of the view until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            number = self.view.begin_round(now_s)
            self.view.confirm_round(number, self.view.index)
            await asyncio.sleep(CONFIRM_INTERVAL_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """The servers granted to a request, and its isolation."""

    prefill: ids.ServerId
    decode: ids.ServerId
    isolation: jobs.Isolation


class LocalCoordinator:
    """Grants places on the servers with the fewest allocations.

    The isolation of requests is respected, as by the real coordinator.

    :ivar allocations_by_request: by the owner and the id of a request for a
        place; entry processes count their requests independently.
    """

    def __init__(self, log):
        self._log = log
        self.allocations_by_request = {}

    async def request_place(self, place_request):
        """Wait for a free place; return a PlaceGranted or a Refusal."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + place_request.patience_s
        while True:
            prefill = self._choose('prefill', place_request)
            decode = self._choose('decode', place_request)
            if prefill and decode:
                isolation = jobs.Isolation(place_request.isolation)
                key = place_request.owner, place_request.request
                self.allocations_by_request[key] = Allocation(
                    prefill, decode, isolation
                )
                granted = place_messages.PlaceGranted(prefill, decode)
                return result.Success(granted)
            if loop.time() >= deadline_s:
                reason = outcomes.Reason.NO_SERVER
                return result.Failure(
                    outcomes.not_run(reason, 'no free place')
                )
            await asyncio.sleep(PLACE_POLL_INTERVAL_S)

    def release(self, owner, place):
        """Free the place of a request of an entry."""
        self.allocations_by_request.pop((owner, place), None)

    def _choose(self, kind, place_request):
        candidates = [
            (len(self._allocations_on(server.id)), server.id)
            for server in self._log.view.state.servers.by_id.values()
            if server.kind == kind
            and server.id not in place_request.excluded
            and self._can_accept(server, place_request.isolation)
        ]
        return min(candidates)[1] if candidates else None

    def _allocations_on(self, server_id):
        return [
            held
            for held in self.allocations_by_request.values()
            if server_id in (held.prefill, held.decode)
        ]

    def _can_accept(self, server, isolation):
        held = self._allocations_on(server.id)
        if len(held) >= server.places:
            return False
        if any(h.isolation is jobs.Isolation.ALONE for h in held):
            return False
        if isolation == jobs.Isolation.ALONE:
            return not held
        suspects = [h for h in held if h.isolation is not jobs.Isolation.NONE]
        return isolation == jobs.Isolation.NONE or not suspects


class LocalCoordinatorClient:
    """Asks the LocalCoordinator on behalf of one entry.

    :param coordinator: the LocalCoordinator.
    :param owner: the Owner that identifies the entry.
    """

    def __init__(self, coordinator, owner):
        self._coordinator = coordinator
        self._owner = owner

    async def request_place(self, place_request):
        """Wait for a free place; return a PlaceGranted or a Refusal."""
        return await self._coordinator.request_place(place_request)

    async def release(self, place, model, *measurements):
        """Free the place of a request."""
        self._coordinator.release(self._owner, place)


class LocalAuthority:
    """Grants every token request and adds up the cost of each account."""

    def __init__(self):
        self.spent_by_account = {}

    async def request_tokens(self, account, tokens, patience_s):
        """Charge an account; the charge returned is the account itself."""
        self._add(account, tokens)
        return result.Success(account)

    async def refund(self, charge, tokens):
        """Refund the unused tokens of a charge."""
        self._add(charge, -tokens)

    def _add(self, account, tokens):
        spent = self.spent_by_account.get(account, 0)
        self.spent_by_account[account] = spent + tokens


class EntryPath:
    """Entries that send requests of callers to faulty engines.

    :param stack: an AsyncExitStack that closes what is opened.
    :param document: the Document to put in force.
    """

    def __init__(self, stack, document):
        self._stack = stack
        self.log = LocalLog()
        self.coordinator = LocalCoordinator(self.log)
        self.authority = LocalAuthority()
        self.engines_by_id = {}
        self._runners_by_id = {}
        self._sites_by_id = {}
        self.services = []
        self._document = lookups.EMPTY_DOCUMENT
        self._digest = ''
        self.put_in_force(document)
        tasks.spawn(stack, self.log.keep_view_fresh())

    def put_in_force(self, document):
        """Submit and promote a document."""
        digest = f'digest {document.version}'
        submitted = state_documents.SubmitDocument(
            base_version=self._document.version,
            base_digest=self._digest,
            difference=differences.between(self._document, document),
            digest=digest,
            operator='operator',
        )
        self.log.commit(submitted)
        self.log.commit(
            state_documents.PromoteDocument(
                document.version, digest, 'operator'
            )
        )
        self._document = document
        self._digest = digest

    async def add_engine(self, server_id, kind, seed, places=20, **options):
        """Start an engine that rejoins with a new incarnation after a crash.

        :param seed: seed of the random source of its faults.
        :param options: further arguments of FaultyEngine.
        """
        added_engine = faulty_engine.FaultyEngine(
            random.Random(seed),
            on_crash=lambda: self._restart(server_id),
            **options,
        )
        runner = web.AppRunner(
            added_engine.application(),
            access_log=None,
            logger=_SILENT_LOGGER,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, ports.LOOPBACK, 0)
        await site.start()
        port = runner.addresses[0][1]
        server = servers.BackendServer(
            id=ids.ServerId(server_id),
            incarnation=1,
            kind=kind,
            host=ports.LOOPBACK,
            port=port,
            zone=ids.Zone('a'),
            serves=('drafting',),
            places=places,
            memory_tokens=400000,
            link_tokens_per_s=1e6,
            checks_fencing=True,
        )
        self.log.commit(servers.JoinServer(server))
        self.engines_by_id[server_id] = added_engine
        self._runners_by_id[server_id] = runner
        self._sites_by_id[server_id] = site
        return added_engine

    def _restart(self, server_id):
        """Refuse connections for a while, then rejoin after the crash."""
        task = asyncio.create_task(self._restart_after_delay(server_id))
        self._stack.push_async_callback(tasks.cancel, task)

    async def _restart_after_delay(self, server_id):
        site = self._sites_by_id[server_id]
        server = self.log.view.state.servers.by_id[server_id]
        await site.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        new_site = web.TCPSite(
            self._runners_by_id[server_id], server.host, server.port
        )
        await new_site.start()
        self._sites_by_id[server_id] = new_site
        self.log.commit(
            servers.JoinServer(
                dataclasses.replace(server, incarnation=server.incarnation + 1)
            )
        )

    async def add_entry(self, vm):
        """Start the request path of one entry.

        :returns: the base URL for callers.
        """
        owner = ids.Owner(ids.VmId(vm), 1)
        session = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        )
        engines = client.EngineClient(session)
        metrics = metrics_entry.EntryMetrics()
        cancels = cancelling.Canceller(vm, self.log.view, engines, metrics)
        services = shared_services.SharedServices(
            owner,
            self.log.view,
            self.authority,
            LocalCoordinatorClient(self.coordinator, owner),
            engines,
            None,
            metrics,
            self.log,
            cancels,
            None,
            None,
            backpressure_monitor.BackpressureMonitor(
                self.log.view, table.StatementTable(), None, self.log
            ),
        )
        self.services.append(services)
        tasks.spawn(self._stack, cancels.run())
        tasks.spawn(self._stack, access.AccessMonitor(services).run())
        open_session = sessions.OpenSession(
            owner, ids.Zone('a'), ports.LOOPBACK, 1
        )
        self.log.commit(open_session)
        callers_frontend = frontend.Frontend(services)
        address = settings.Address(ports.LOOPBACK, 0)
        port = await web_listeners.listen(
            self._stack,
            callers_frontend.application(),
            address,
            http_listener.Options(cancel_handlers=True),
        )
        return f'http://{ports.LOOPBACK}:{port}'

    def held_attempts(self):
        """Return the attempts that occupy a place on any engine."""
        return [
            attempt
            for faulty in self.engines_by_id.values()
            for attempt in faulty.held_by_attempt
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamResult:
    """The result of one request, as its caller received it.

    :param status: the HTTP status; 0 if the connection failed.
    :param tokens: number of tokens received.
    :param whole: whether the response is complete and matches the prompt.
    :param ended: whether the stream ended with [DONE] or an error event.
    :param text: the body, or the error of the connection.
    """

    status: int
    tokens: int
    whole: bool
    ended: bool
    text: str


async def stream(session, url, key, prompt, count):
    """Request a streamed completion and check every token.

    :returns: a StreamResult.
    """
    content = {'prompt': prompt, 'max_tokens': count, 'stream': True}
    headers = {'Authorization': f'Bearer {key}'}
    try:
        async with session.post(
            f'{url}/v1/completions', json=content, headers=headers
        ) as response:
            status = response.status
            text = await response.text()
    except aiohttp.ClientError as error:
        return StreamResult(0, 0, False, False, repr(error))
    if status != 200:
        return StreamResult(status, 0, False, True, text)
    texts = [
        json.loads(line[len('data: ') :])['choices'][0]['text']
        for line in text.splitlines()
        if line.startswith('data: {') and '"token_index"' in line
    ]
    expected = engine.expected_tokens(prompt, count)
    own = texts == expected[: len(texts)]
    done = text.endswith('data: [DONE]\n\n')
    failed = 'event: error\n' in text
    if not own:
        return StreamResult(status, len(texts), False, False, text)
    return StreamResult(
        status, len(texts), done and texts == expected, done or failed, text
    )
