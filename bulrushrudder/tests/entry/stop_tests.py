import asyncio
import contextlib
import dataclasses
import pathlib
import tempfile
import unittest
from unittest import mock

import aiohttp
from aiohttp import web
import logbook

from bulrushrudder.config import settings as config
from bulrushrudder.core import ids
from bulrushrudder.documents import types
from bulrushrudder.entry import process
from bulrushrudder.standins import engine
from bulrushrudder.standins import entry_path
from bulrushrudder.state import accounts
from bulrushrudder.state import documents as state_documents
from bulrushrudder.state import results
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import settings
from bulrushrudder.utils import ports
from bulrushrudder.utils import stop_signal
from bulrushrudder.utils import web as listeners

BALANCER_S = 0.4
CALL_DURATION_S = 0.8
TOKENS = 40
CALLERS = 40
CALLER_PAUSE_S = 0.1
TOKEN_INTERVAL_S = 0.03
START_TIMEOUT_S = 5.0


def document():
    service = types.ServiceTarget(ids.ServiceId('portal'), 5.0, 1)
    filings = documents.model_route(
        'filings', '/filings', target=service, open=True
    )
    drafts = documents.model_route(open=True)
    return documents.document(routes=(drafts, filings))


class StopTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        vm_settings = settings.solo(pathlib.Path(folder))
        vm_settings = dataclasses.replace(
            vm_settings,
            entry=dataclasses.replace(
                vm_settings.entry, balancer_s=BALANCER_S
            ),
        )
        self.url = f'http://{vm_settings.entry.callers}'
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.entry_stack = contextlib.AsyncExitStack()
        self.stack.push_async_exit(self.entry_stack)
        self.entry = process.EntryProcess(vm_settings)
        self.proposed = []
        self.calls_at_close = None
        self.entry.control_client.propose = self._propose
        await self.entry.start(self.entry_stack)
        await self._fill_view()

    async def _propose(self, command):
        self.proposed.append(command)
        if isinstance(command, sessions.CloseSession):
            self.calls_at_close = self.entry.services.calls
        return results.Accepted(len(self.proposed))

    async def _fill_view(self):
        """Fill the view with a document, servers and the entry's session."""
        app = web.Application()
        app.router.add_post('/filings', self._file)
        standins = (
            ('prefill', engine.Engine().application()),
            ('decode', engine.Engine(token_s=TOKEN_INTERVAL_S).application()),
            ('service', app),
        )
        commands = [
            documents.submission(document(), 'd1'),
            state_documents.PromoteDocument(1, 'd1', 'ana'),
        ]
        for kind, standin in standins:
            address = config.Address(ports.LOOPBACK, 0)
            port = await listeners.listen(self.stack, standin, address)
            serves = ('portal',) if kind == 'service' else ('drafting',)
            server = fleet.server(f'{kind}-1', kind, port=port, serves=serves)
            commands.append(servers.JoinServer(server))
        owner = self.entry.services.owner
        opened = sessions.OpenSession(owner, ids.Zone('a'), '127.0.0.1', 1)
        commands.append(opened)
        for index, command in enumerate(commands, 1):
            self.entry.view.apply(index, command)
        confirm_task = asyncio.create_task(self._confirm_view())
        self.stack.callback(confirm_task.cancel)
        await asyncio.sleep(0)

    async def _confirm_view(self):
        view = self.entry.view
        while True:
            now_s = asyncio.get_running_loop().time()
            view.confirm_round(view.begin_round(now_s), view.index)
            await asyncio.sleep(0.2)

    async def _file(self, request):
        await asyncio.sleep(CALL_DURATION_S)
        return web.json_response({'filed': True})

    async def stream(self, prompt):
        return await entry_path.stream(
            self.session, self.url, documents.CALLER_KEY, prompt, TOKENS
        )

    async def file(self):
        async with self.session.post(f'{self.url}/filings') as response:
            return response.status, await response.text()

    async def ready(self):
        async with self.session.get(f'{self.url}/-/ready') as response:
            return response.status

    async def wait_until_running(self):
        async with asyncio.timeout(START_TIMEOUT_S):
            while self.entry.services.calls < 2:
                await asyncio.sleep(0.01)

    async def test_requests_in_flight_complete_before_session_closes(self):
        self.assertEqual(await self.ready(), 200)
        calls = [
            asyncio.create_task(self.stream('before')),
            asyncio.create_task(self.file()),
        ]
        await self.wait_until_running()
        leaving = asyncio.create_task(self.entry.leave())
        await asyncio.sleep(BALANCER_S / 4)
        self.assertEqual(await self.ready(), 503)
        calls.append(asyncio.create_task(self.stream('while leaving')))
        await leaving
        stop_task = asyncio.create_task(self.entry.stop())
        await asyncio.sleep(0.05)
        refused = await self.stream('too late')
        self.assertEqual(refused.status, 503)
        self.assertIn('shutting_down', refused.text)
        self.assertIn('"not run"', refused.text)
        self.assertFalse(stop_task.done())
        before = len(self.proposed)
        await stop_task
        await self.entry_stack.aclose()
        first, filed, second = await asyncio.gather(*calls)
        self.assertTrue(first.whole, first.text)
        self.assertTrue(second.whole, second.text)
        self.assertEqual(filed, (200, '{"filed": true}'))
        closed = self.proposed[before:]
        owner = self.entry.services.owner
        self.assertEqual(closed, [sessions.CloseSession(owner)])
        self.assertEqual(self.calls_at_close, 0)

    async def test_stop_ends_while_callers_go_on(self):
        statuses = []

        async def go_on():
            with contextlib.suppress(aiohttp.ClientError):
                while True:
                    statuses.append((await self.file())[0])
                    await asyncio.sleep(CALLER_PAUSE_S)

        callers = [asyncio.create_task(go_on()) for _ in range(CALLERS)]
        await self.wait_until_running()
        loop = asyncio.get_running_loop()
        await self.entry.leave()
        began_s = loop.time()
        await self.entry.stop()
        took_s = loop.time() - began_s
        await self.entry_stack.aclose()
        await asyncio.gather(*callers)
        self.assertLess(took_s, CALL_DURATION_S + START_TIMEOUT_S)
        self.assertEqual(set(statuses), {200, 503})

    async def wait_for_place(self):
        """Start a request that waits for the only decode place.

        :returns: the task.
        """
        server = fleet.server('decode-1', 'decode')
        known = self.entry.view.state.servers.by_id[server.id]
        command = servers.JoinServer(
            dataclasses.replace(known, incarnation=2, places=1)
        )
        self.entry.view.apply(self.entry.view.index + 1, command)
        first = asyncio.create_task(self.stream('first'))
        await asyncio.sleep(CALL_DURATION_S / 2)
        second = asyncio.create_task(self.stream('second'))
        await self.wait_until_running()
        self.assertFalse(first.done())
        return second

    async def test_request_that_waits_for_place_is_served_if_all_leave(self):
        waiting = await self.wait_for_place()
        await self.entry.stop()
        answer = await waiting
        self.assertTrue(answer.whole, answer.text)

    def hold_account(self):
        """Make the entry the holder of the account of the document."""
        owner = self.entry.services.owner
        claim = accounts.ClaimAccount(
            types.Environment.PRODUCTION, ids.AccountId('acme'), owner, 0, 9.0
        )
        self.entry.view.apply(self.entry.view.index + 1, claim)
        client = self.entry._authority_client
        client._authority.spendable(
            claim.account, client._log_view(), client._now_s()
        )
        self.assertTrue(client._authority.held)

    async def test_stop_releases_accounts_and_coordinators(self):
        self.hold_account()
        hand_over = mock.AsyncMock()
        self.entry.coordinator_client.hand_over = hand_over
        await self.entry.stop()
        released = [type(command) for command in self.proposed]
        self.assertIn(accounts.ReleaseAccount, released)
        hand_over.assert_awaited_once_with()

    async def test_error_of_one_hand_over_is_logged_and_stops_no_other(self):
        handler = logbook.TestHandler()
        self.entry._authority_client.release_accounts = mock.AsyncMock(
            side_effect=ValueError('injected')
        )
        hand_over = mock.AsyncMock()
        self.entry.coordinator_client.hand_over = hand_over
        with handler.applicationbound():
            await self.entry.stop()
        hand_over.assert_awaited_once_with()
        names = [r.extra['event'].name for r in handler.records]
        self.assertIn('unexpected error', names)


class StoppingTests(unittest.TestCase):
    def test_second_stop_request_only_reports(self):
        stop_event = stop_signal.StopSignal()
        report = mock.Mock()
        stop_event.on_repeat(report)
        stop_event.request()
        report.assert_not_called()
        self.assertTrue(stop_event.is_set())
        stop_event.request()
        report.assert_called_once_with()
