import asyncio
import contextlib
import functools
import unittest
from unittest import mock

import aiohttp

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.engines import client
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import jobs
from bulrushrudder.tests.builders import scripted_engines

ATTEMPT = ids.AttemptId(ids.RequestId('1'), fleet.owner(), 1)
NAME = str(ATTEMPT)
FAILED = outcomes.Reason.BACKEND_FAILED
SILENT = outcomes.Reason.BACKEND_SILENT
TOKEN = scripted_engines.token_chunk(NAME, 0)
SHORT_S = 0.2
BOUND_S = 2.0
FOREVER = functools.partial(scripted_engines.pause, seconds=5)


SOURCE = fleet.server('prefill-1', kind='prefill')
JOB = jobs.job()


def order():
    """Return what a decode is asked with: action, source and job."""
    action = actions.StartDecode(
        ATTEMPT, fleet.server('decode-1').id, SOURCE.id, 'kv', ()
    )
    return action, SOURCE, JOB


async def trickle(writer):
    for byte in TOKEN[:-1] * 100:
        writer.write(b'1\r\n%c\r\n' % byte)
        await asyncio.sleep(SHORT_S / 4)


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
        for name in ('FIRST_TOKEN_S', 'BETWEEN_TOKENS_S', 'TRANSFER_S'):
            patch = mock.patch.object(client, name, SHORT_S)
            self.stack.enter_context(patch)

    async def decode(self, *steps):
        """Return all events of a decode on a raw engine."""
        server = await scripted_engines.ScriptedEngine(*steps).start(
            self.stack
        )
        found = []
        async with asyncio.timeout(BOUND_S):
            async for batch in self.client.decode(server, *order()):
                found += batch
        return found

    async def check_failure(self, reason, *steps, tokens=1):
        """Check that a broken stream ends with a visible failure."""
        found = await self.decode(
            scripted_engines.RESPONSE_HEAD, TOKEN, *steps
        )
        arrived = [e for e in found if isinstance(e, events.TokenArrived)]
        self.assertEqual(len(arrived), tokens)
        self.assertIsInstance(found[-1], events.AttemptFailed)
        self.assertEqual(found[-1].reason, reason)
        self.assertTrue(found[-1].sent)

    async def test_whole_stream(self):
        found = await self.decode(
            scripted_engines.RESPONSE_HEAD,
            TOKEN,
            scripted_engines.end(NAME, 1),
        )
        self.assertEqual(
            found,
            [
                events.TransferDone(ATTEMPT),
                events.TokenArrived(ATTEMPT, 0, 'x'),
                events.DecodeDone(ATTEMPT, 1, 'stop'),
            ],
        )

    async def test_nothing_after_the_end_is_taken(self):
        last = scripted_engines.token_chunk(NAME, 1, finish_reason='stop')
        found = await self.decode(
            scripted_engines.RESPONSE_HEAD, TOKEN, last + TOKEN
        )
        self.assertEqual(len(found), 3)

    async def test_reset(self):
        await self.check_failure(FAILED, scripted_engines.reset)

    async def test_half_close(self):
        await self.check_failure(FAILED, scripted_engines.half_close)

    async def test_orderly_end_without_the_last_event(self):
        await self.check_failure(FAILED, scripted_engines.chunk(b''))

    async def test_silence(self):
        await self.check_failure(SILENT, FOREVER)

    async def test_trickle(self):
        await self.check_failure(SILENT, trickle)

    async def test_truncated_chunk(self):
        await self.check_failure(FAILED, b'ff\r\ndata: {"att')

    async def test_chunk_of_no_size(self):
        short = functools.partial(scripted_engines.pause, seconds=SHORT_S / 2)
        found = await self.decode(
            scripted_engines.RESPONSE_HEAD, TOKEN, short, b'zz\r\n'
        )
        self.assertIsInstance(found[-1], events.AttemptFailed)

    async def test_item_of_another_attempt(self):
        other = scripted_engines.token_chunk('vm1.1.2.1', 1)
        await self.check_failure(FAILED, other + TOKEN)

    async def test_item_of_no_known_form(self):
        wrong = scripted_engines.chunk(b'data: {"index": -4}\n\n')
        await self.check_failure(FAILED, wrong)

    async def test_giant_line(self):
        giant = scripted_engines.token_chunk(NAME, 1, 'x' * 2**20)
        await self.check_failure(FAILED, giant)

    async def test_silence_before_the_headers(self):
        found = await self.decode(FOREVER)
        self.assertEqual([e.reason for e in found], [SILENT])
        self.assertTrue(found[0].sent)

    async def test_refused_connection_was_not_sent(self):
        server = fleet.server('gone', port=1)
        found = []
        async for batch in self.client.decode(server, *order()):
            found += batch
        self.assertFalse(found[0].sent)

    async def test_refusal_for_lack_of_a_place(self):
        answer = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
        found = await self.decode(answer)
        full = outcomes.Reason.BACKEND_FULL
        self.assertEqual([e.reason for e in found], [full])
        self.assertFalse(found[0].sent)

    async def test_slow_reader_holds_the_engine_up(self):
        many = b''.join(
            scripted_engines.token_chunk(NAME, index, 'x' * 1000)
            for index in range(10000)
        )
        sent = asyncio.Event()

        async def send(writer):
            writer.write(many)
            await writer.drain()
            sent.set()

        server = await scripted_engines.ScriptedEngine(
            scripted_engines.RESPONSE_HEAD,
            send,
            scripted_engines.end(NAME, 10000),
        ).start(self.stack)
        stream = self.client.decode(server, *order())
        async with contextlib.aclosing(stream):
            await anext(stream)
            await asyncio.sleep(SHORT_S * 2)
            self.assertFalse(sent.is_set())
            count = 0
            async for batch in stream:
                count += len(batch)
            self.assertEqual(count, 10001)

    async def test_inspection_tells_a_crash_from_silence(self):
        silent = await scripted_engines.ScriptedEngine(FOREVER).start(
            self.stack
        )
        with mock.patch.object(client, 'INSPECT_S', SHORT_S):
            found = await self.client.inspect(silent, ATTEMPT)
        self.assertEqual(found, events.Inspected(ATTEMPT, False, None))
        gone = fleet.server('gone', port=1)
        found = await self.client.inspect(gone, ATTEMPT)
        self.assertEqual(found, events.Inspected(ATTEMPT, True, None))
