"""Answers whose end or status does not say that they are answers."""

import asyncio
import contextlib
import unittest

import aiohttp

from bulrushrudder.control import kind_orders
from bulrushrudder.core import ids
from bulrushrudder.platform import calls
from bulrushrudder.platform import engines
from bulrushrudder.platform import orders
from bulrushrudder.tests.builders import entries_fleet
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.platform import orders_tests

UPLOAD = bytes(4 * 1024 * 1024)
STATUSES = ('000', '099', '600', '999')
TIMEOUT_S = 20.0
# Until a faulty server has been chosen beside a sound one.
MAX_CALLS = 20
CUT = 'cut'
PART = {
    'prefill': entries_fleet.PREFILL_REPLY,
    'decode': runners.event(1),
    None: b'part',
}


async def stay_silent(writer):
    await asyncio.sleep(TIMEOUT_S)


def early(call, *steps):
    """Answer a call in part, without a length, and go on with steps."""
    attempt = call.headers['Attempt-Id']
    kind = call.headers.get('Stage')
    if kind is None and call.target.startswith(('/drafts/', '/once/')):
        kind = 'decode'
    head = runners.stream_head_without_length(attempt)
    return [head + PART[kind], runners.shut_down, *steps]


def with_status(status):
    """Return a reply that has nothing wrong but its status."""

    def reply(call):
        attempt = call.headers['Attempt-Id']
        body = entries_fleet.PREFILL_REPLY
        return [runners.answer(body, f'{status} X', attempt=attempt)]

    return reply


FAULTS = {
    'reset': lambda call: early(call, runners.reset_soon),
    'silence': lambda call: early(call, stay_silent),
    **{status: with_status(status) for status in STATUSES},
}


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        content = entries_fleet.configuration()
        self.assertEqual(await self.fleet.put_configuration(content), 200)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version
        )
        self.faulty = await self.add('faulty', self.reply, False)
        self.fault = None

    def reply(self, call):
        return FAULTS[self.fault](call)

    async def add(self, server_id, reply, reads_bodies=True):
        return await self.fleet.add_runner(
            reply, server_id, reads_bodies, **self.terms
        )

    async def call(self, path):
        """Return the status and body that a caller sees."""
        async with asyncio.timeout(TIMEOUT_S):
            try:
                async with self.fleet.call(path, body=UPLOAD) as response:
                    return response.status, await response.read()
            except aiohttp.ClientPayloadError:
                return CUT, None

    async def check_each(self, check, *terms):
        for self.fault in FAULTS:
            with self.subTest(self.fault):
                self.faulty.calls.clear()
                await check(*terms)

    async def check_repeated(self, path, body):
        """Check that calls get the answer of a sound server."""
        for _ in range(MAX_CALLS):
            self.assertEqual(await self.call(path), (200, body))
            if self.faulty.calls:
                return
        self.fail('the faulty server got no call')


class PlainTests(FleetTestCase):
    terms = {'service': 'portal', 'stage': None, 'slots': 64}

    # Guards against a part of an answer, or a status that no client
    # understands, as the answer to a call.

    async def check_unknown(self):
        status, _ = await self.call('/book/1')
        self.assertEqual(status, 502)
        self.assertEqual(len(self.faulty.calls), 1)

    async def test_call_that_may_not_be_repeated_is_unknown(self):
        await self.check_each(self.check_unknown)

    async def test_call_that_may_be_repeated_goes_on_after_early_end(self):
        await self.add('sound', entries_fleet.book)
        self.fault = 'reset'
        await self.check_repeated('/find/1', runners.ATTEMPT.encode())

    async def test_call_that_may_be_repeated_goes_on_after_a_status(self):
        await self.add('sound', entries_fleet.book)
        self.fault = '600'
        await self.check_repeated('/find/1', runners.ATTEMPT.encode())

    # Guards against a sound answer that is lost with the faulty ones.

    async def test_early_answer_with_length_is_the_answer(self):
        for status, body in ((200, b'whole'), (204, b''), (599, b'error')):
            with self.subTest(status):
                self.reply_with(status, body)
                self.assertEqual(await self.call('/book/1'), (status, body))
                await self.fleet.wait_until(lambda: self.faulty.bodies)
                self.assertEqual(self.faulty.bodies.pop(), UPLOAD)

    def reply_with(self, status, body):
        self.faulty.set_reply(
            lambda call: [
                runners.answer(
                    body, f'{status} X', attempt=call.headers['Attempt-Id']
                ),
                self.faulty.read_body,
            ]
        )


class PrefillTests(FleetTestCase):
    terms = {'stage': 'prefill'}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.decoder = await self.fleet.add_runner(
            entries_fleet.generate, 'decode'
        )

    # Guards against results of prefills that were never computed.

    async def check_result_is_not_used(self):
        self.assertEqual(
            await self.call('/drafts/1'), (200, entries_fleet.STREAM)
        )
        self.assertGreaterEqual(len(self.faulty.calls), 1)
        for call in self.decoder.calls:
            self.assertNotIn('Kv-Source', call.headers)

    async def test_result_of_early_end_is_not_used(self):
        self.fault = 'reset'
        await self.check_result_is_not_used()

    async def test_result_with_invalid_status_is_not_used(self):
        self.fault = '999'
        await self.check_result_is_not_used()

    async def test_prefill_goes_to_another_server(self):
        await self.add('sound', entries_fleet.generate)
        self.fault = 'silence'
        await self.check_repeated('/drafts/1', entries_fleet.STREAM)


class DecodeTests(FleetTestCase):
    terms = {}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.fleet.add_runner(
            entries_fleet.generate, 'prefill', stage='prefill'
        )

    # Guards against a stream that looks complete where its server stopped.

    async def test_stream_that_may_not_be_resumed_is_cut(self):
        for self.fault in ('reset', 'silence'):
            with self.subTest(self.fault):
                self.assertEqual(await self.call('/once/1'), (CUT, None))

    async def test_status_of_stream_is_unknown(self):
        self.fault = '600'
        status, _ = await self.call('/once/1')
        self.assertEqual(status, 502)
        self.assertEqual(len(self.faulty.calls), 1)

    async def test_stream_that_may_be_resumed_is_whole(self):
        await self.add('sound', entries_fleet.generate)
        self.fault = 'reset'
        await self.check_repeated('/drafts/1', entries_fleet.STREAM)


class OrderTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.pool = calls.pool()
        self.stack.callback(self.pool.close)

    async def start(self, status):
        def reply(call):
            if call.method == 'GET':
                return [runners.answer(orders_tests.REPORT, attempt='')]
            return [runners.answer(status=f'{status} X', attempt='')]

        runner = await runners.Runner(reply).start(self.stack)
        return runner.server()

    # Guards against an order that counts as refused and is sent to another
    # server, though nothing says what became of it.

    async def test_order_with_invalid_status_is_unknown(self):
        client = orders.OrderClient(self.pool)
        for status in STATUSES:
            server = await self.start(status)
            expires_s = asyncio.get_running_loop().time() + TIMEOUT_S
            order = kind_orders.Order('prefill', 'core-1', 3, expires_s)
            outcome = await client.order(server, order)
            self.assertIsInstance(outcome, kind_orders.OrderOutcomeUnknown)

    # Guards against a cancellation that waits for its time limit for parts
    # of an answer that has failed.

    async def test_cancellation_with_invalid_status_ends_at_once(self):
        client = engines.EngineClient(self.pool)
        server = await self.start('999')
        attempt = ids.AttemptId(fleet.owner(), 1, 1)
        client._handles_by_attempt[attempt] = server, runners.HANDLE
        async with asyncio.timeout(engines.FREE_HANDLE_TIMEOUT_S / 2):
            await client.cancel(server, [attempt])
