"""Second copies of answers that arrive with the answer to the next call."""

import asyncio
import contextlib
import unittest

from bulrushrudder.control import kind_orders
from bulrushrudder.platform import calls
from bulrushrudder.platform import orders
from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import runners

FIRST, SECOND = 'a' * 16, 'b' * 16
REJECTED = '503 Service Unavailable'
PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'
REPORT = (
    b'{"stage":"decode","models":[],"busy":false,"sequence":2,"waiting":0}'
)


def rejection(attempt):
    """Return an answer that says that a call did not run."""
    return runners.answer(
        status=REJECTED, headers=[('Not-Executed', '1')], attempt=attempt
    )


class CopyingRunner:
    """Rejects the first run and sends a copy of that before the next answer.

    :param answer: function of a Call that returns the true answer.
    :param answers_second: whether the true answer follows the copy.
    :ivar ran: attempt ids of the calls that ran.
    """

    def __init__(self, answer, answers_second=True):
        self._answer = answer
        self._answers_second = answers_second
        self._copies_by_connection = {}
        self.ran = []

    def reply(self, call):
        attempt = call.headers.get('Attempt-Id', '')
        if attempt == FIRST:
            sent = rejection(FIRST)
            self._copies_by_connection[call.connection] = sent
            return [sent]
        copy = self._copies_by_connection.pop(call.connection, b'')
        self.ran.append(attempt)
        if copy and not self._answers_second:
            return [copy]
        return [copy + self._answer(call)]


class LateCopyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        content = platform.configuration()
        content['routes'].append(
            {
                **platform.ROUTE,
                'name': 'r-book',
                'path_prefix': '/book/',
                'route_type': 'non_idempotent',
                'timeout_ms': 800,
                'service': 'portal',
                'resumable': False,
            }
        )
        content['routes'][0]['resumable'] = False
        await self.fleet.put_configuration(content)
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )

    async def add_portal_runner(self, reply, server_id):
        return await self.fleet.add_runner(
            reply, server_id, service='portal', stage=None, slots=6
        )

    async def send(self, path, attempt):
        headers = {'Attempt-Id': attempt}
        async with self.fleet.call(path, headers=headers) as response:
            return response.status, await response.read()

    def booking(self, call):
        return runners.answer(b'booked', attempt=call.headers['Attempt-Id'])

    # Guards against a call that runs twice, or is refused after it ran,
    # because a copy of an earlier rejection is read as its answer.

    async def test_copy_of_rejection_is_not_taken_for_next_call(self):
        runner = CopyingRunner(self.booking)
        await self.add_portal_runner(runner.reply, 'i-p')
        status, _ = await self.send('/book/1', FIRST)
        self.assertEqual(status, 503)
        answer = await self.send('/book/1', SECOND)
        self.assertEqual(answer, (200, b'booked'))
        self.assertEqual(runner.ran, [SECOND])

    async def test_call_behind_copy_is_not_sent_to_another_server(self):
        runner = CopyingRunner(self.booking, answers_second=False)
        await self.add_portal_runner(runner.reply, 'i-p')
        await self.send('/book/1', FIRST)
        other = await self.add_portal_runner(
            lambda call: [self.booking(call)], 'i-q'
        )
        status, _ = await self.send('/book/1', SECOND)
        ran = [*runner.ran, *(c.headers['Attempt-Id'] for c in other.calls)]
        self.assertEqual(ran.count(SECOND), 1)
        self.assertIn(status, (200, 502, 504))

    async def test_copy_of_rejected_decode_is_not_taken_for_next_stream(self):
        def stream(call):
            attempt = call.headers['Attempt-Id'].encode()
            sent = runners.stream(1, 3)
            return sent.replace(runners.ATTEMPT.encode(), attempt)

        def prefill(call):
            attempt = call.headers.get('Attempt-Id', '')
            return [runners.answer(PREFILL_REPLY, attempt=attempt)]

        decode = CopyingRunner(stream)
        await self.fleet.add_runner(prefill, 'i-a', stage='prefill')
        await self.fleet.add_runner(decode.reply, 'i-b')
        status, _ = await self.send('/drafts/1', FIRST)
        self.assertEqual(status, 503)
        status, body = await self.send('/drafts/1', SECOND)
        self.assertEqual(status, 200)
        self.assertEqual(body.count(b'data:'), 3)
        self.assertEqual(decode.ran, [SECOND])


class OrderCopyTests(unittest.IsolatedAsyncioTestCase):
    # Guards against an order that counts as accepted because a copy of the
    # report before it is read as its answer.

    async def test_copy_of_report_is_not_taken_for_answer_to_order(self):
        copies_by_connection = {}

        def reply(call):
            if call.method == 'GET':
                sent = runners.answer(REPORT, attempt='')
                copies_by_connection[call.connection] = sent
                return [sent]
            copy = copies_by_connection.pop(call.connection, b'')
            refused = runners.answer(status='409 Conflict', attempt='')
            return [copy + refused]

        async with asyncio.timeout(5.0):
            runner = runners.Runner(reply)
            stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
            await runner.start(stack)
            pool = calls.pool()
            stack.callback(pool.close)
            order = kind_orders.Order(
                'prefill',
                'core-1',
                3,
                asyncio.get_running_loop().time() + 5.0,
            )
            outcome = await orders.OrderClient(pool).order(
                runner.server(), order
            )
        self.assertIsInstance(outcome, kind_orders.OrderRefused)
