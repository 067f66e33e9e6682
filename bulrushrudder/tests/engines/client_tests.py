import asyncio
import contextlib
import functools
import unittest
from unittest import mock

import aiohttp
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.engines import client
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import jobs
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines

ATTEMPT = ids.AttemptId(ids.RequestId('1'), fleet.owner(), 1)
ATTEMPT_NAME = str(ATTEMPT)
FAILED = outcomes.Reason.BACKEND_FAILED
SILENT = outcomes.Reason.BACKEND_SILENT
TOKEN = scripted_engines.token_chunk(ATTEMPT_NAME, 0)
SHORT_TIMEOUT_S = 0.2
TEST_TIMEOUT_S = 2.0
STALL = functools.partial(scripted_engines.pause, seconds=5)


SOURCE = fleet.server('prefill-1', kind='prefill')
JOB = jobs.job()


def decode_arguments():
    """Return the arguments of a decode: action, source and job."""
    action = actions.StartDecode(
        ATTEMPT, fleet.server('decode-1').id, SOURCE.id, 'kv', ()
    )
    return action, SOURCE, JOB


async def trickle(writer):
    for byte in TOKEN[:-1] * 100:
        writer.write(b'1\r\n%c\r\n' % byte)
        await asyncio.sleep(SHORT_TIMEOUT_S / 4)


class EngineClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        session = await self.stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        )
        self.client = client.EngineClient(session)
        for name in (
            'FIRST_TOKEN_TIMEOUT_S',
            'BETWEEN_TOKENS_TIMEOUT_S',
            'TRANSFER_TIMEOUT_S',
        ):
            patch = mock.patch.object(client, name, SHORT_TIMEOUT_S)
            self.stack.enter_context(patch)

    async def decode(self, *steps):
        """Return all events of a decode on a scripted engine."""
        server = await scripted_engines.ScriptedEngine(*steps).start(
            self.stack
        )
        received = []
        async with asyncio.timeout(TEST_TIMEOUT_S):
            async for batch in self.client.decode(server, *decode_arguments()):
                received += batch
        return received

    async def check_stream_failure(self, reason, *steps, tokens=1):
        """Check that a broken stream ends with an AttemptFailed event."""
        received = await self.decode(
            scripted_engines.RESPONSE_HEAD, TOKEN, *steps
        )
        token_events = [
            e for e in received if isinstance(e, events.TokenArrived)
        ]
        self.assertEqual(len(token_events), tokens)
        self.assertIsInstance(received[-1], events.AttemptFailed)
        self.assertEqual(received[-1].reason, reason)
        self.assertTrue(received[-1].sent)

    async def test_yields_events_of_complete_stream(self):
        received = await self.decode(
            scripted_engines.RESPONSE_HEAD,
            TOKEN,
            scripted_engines.end(ATTEMPT_NAME, 1),
        )
        self.assertEqual(
            received,
            [
                events.TransferDone(ATTEMPT),
                events.TokenArrived(ATTEMPT, 0, 'x'),
                events.DecodeDone(ATTEMPT, 1, 'stop'),
            ],
        )

    async def test_ignores_tokens_after_last_event(self):
        last = scripted_engines.token_chunk(
            ATTEMPT_NAME, 1, finish_reason='stop'
        )
        received = await self.decode(
            scripted_engines.RESPONSE_HEAD, TOKEN, last + TOKEN
        )
        self.assertEqual(len(received), 3)

    async def test_connection_reset_fails_attempt(self):
        await self.check_stream_failure(FAILED, scripted_engines.reset)

    async def test_half_closed_connection_fails_attempt(self):
        await self.check_stream_failure(FAILED, scripted_engines.half_close)

    async def test_end_of_body_without_last_event_fails_attempt(self):
        await self.check_stream_failure(FAILED, scripted_engines.chunk(b''))

    async def test_silent_stream_times_out(self):
        await self.check_stream_failure(SILENT, STALL)

    async def test_stream_without_complete_event_times_out(self):
        await self.check_stream_failure(SILENT, trickle)

    async def test_truncated_chunk_fails_attempt(self):
        await self.check_stream_failure(FAILED, b'ff\r\ndata: {"att')

    async def test_invalid_chunk_size_fails_attempt(self):
        short = functools.partial(
            scripted_engines.pause, seconds=SHORT_TIMEOUT_S / 2
        )
        received = await self.decode(
            scripted_engines.RESPONSE_HEAD, TOKEN, short, b'zz\r\n'
        )
        self.assertIsInstance(received[-1], events.AttemptFailed)

    async def test_event_of_another_attempt_fails_attempt(self):
        other = scripted_engines.token_chunk('vm1.1.2.1', 1)
        await self.check_stream_failure(FAILED, other + TOKEN)

    async def test_invalid_event_fails_attempt(self):
        invalid = scripted_engines.chunk(b'data: {"index": -4}\n\n')
        await self.check_stream_failure(FAILED, invalid)

    async def test_text_of_invalid_event_is_not_in_failure(self):
        invalid = scripted_engines.chunk(b'data: {"index": "s3cret"}\n\n')
        received = await self.decode(
            scripted_engines.RESPONSE_HEAD, TOKEN, invalid
        )
        self.assertNotIn('s3cret', received[-1].detail)

    async def test_text_of_invalid_prefill_reply_is_not_in_failure(self):
        body = b'{"handle": 1, "attempt": "s3cret"}'
        reply = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'
        server = await scripted_engines.ScriptedEngine(
            reply % (len(body), body)
        ).start(self.stack)
        action = actions.StartPrefill(ATTEMPT, server.id, ())
        failed = await self.client.prefill(server, action, JOB)
        self.assertIsInstance(failed, events.AttemptFailed)
        self.assertNotIn('s3cret', failed.detail)

    async def test_oversized_line_fails_attempt(self):
        giant = scripted_engines.token_chunk(ATTEMPT_NAME, 1, 'x' * 2**20)
        await self.check_stream_failure(FAILED, giant)

    async def test_missing_response_headers_time_out(self):
        received = await self.decode(STALL)
        self.assertEqual([e.reason for e in received], [SILENT])
        self.assertTrue(received[0].sent)

    async def test_refused_connection_counts_as_not_sent(self):
        server = fleet.server('gone', port=1)
        received = []
        async for batch in self.client.decode(server, *decode_arguments()):
            received += batch
        self.assertFalse(received[0].sent)

    async def test_status_503_means_backend_full(self):
        response = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
        received = await self.decode(response)
        full = outcomes.Reason.BACKEND_FULL
        self.assertEqual([e.reason for e in received], [full])
        self.assertFalse(received[0].sent)

    # Guards against answers of no known meaning that count as success.

    async def test_invalid_status_is_no_answer(self):
        cancelled = b'{"attempts":["%s"],"vms":[]}' % ATTEMPT_NAME.encode()
        known = b'{"known":false,"handle":null}'
        for status in ('000', '099', '101', '204', '600', '999'):
            with self.subTest(status):
                answer = functools.partial(
                    runners.answer, status=f'{status} X', attempt=''
                )
                (failed,) = await self.decode(answer())
                self.assertEqual((failed.reason, failed.sent), (FAILED, True))
                server = await self.start(answer(cancelled))
                match await self.client.cancel(server, [ATTEMPT]):
                    case result.Success(held):
                        self.fail(held)
                server = await self.start(answer(known))
                self.assertEqual(
                    await self.client.inspect(server, ATTEMPT),
                    events.Inspected(ATTEMPT, False, None),
                )

    async def start(self, *steps):
        return await scripted_engines.ScriptedEngine(*steps).start(self.stack)

    async def test_slow_reader_stops_reading_from_engine(self):
        token_stream = b''.join(
            scripted_engines.token_chunk(ATTEMPT_NAME, index, 'x' * 1000)
            for index in range(10000)
        )
        sent = asyncio.Event()

        async def send(writer):
            writer.write(token_stream)
            await writer.drain()
            sent.set()

        server = await scripted_engines.ScriptedEngine(
            scripted_engines.RESPONSE_HEAD,
            send,
            scripted_engines.end(ATTEMPT_NAME, 10000),
        ).start(self.stack)
        stream = self.client.decode(server, *decode_arguments())
        async with contextlib.aclosing(stream):
            await anext(stream)
            await asyncio.sleep(SHORT_TIMEOUT_S * 2)
            self.assertFalse(sent.is_set())
            count = 0
            async for batch in stream:
                count += len(batch)
            self.assertEqual(count, 10001)

    async def test_inspection_distinguishes_crash_from_timeout(self):
        silent = await scripted_engines.ScriptedEngine(STALL).start(self.stack)
        with mock.patch.object(client, 'INSPECT_TIMEOUT_S', SHORT_TIMEOUT_S):
            received = await self.client.inspect(silent, ATTEMPT)
        self.assertEqual(received, events.Inspected(ATTEMPT, False, None))
        gone = fleet.server('gone', port=1)
        received = await self.client.inspect(gone, ATTEMPT)
        self.assertEqual(received, events.Inspected(ATTEMPT, True, None))
