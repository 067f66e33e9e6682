import asyncio
import contextlib
import dataclasses
import time
import unittest
from unittest import mock

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.lifecycle import actions
from bulrushrudder.lifecycle import events
from bulrushrudder.platform import calls
from bulrushrudder.platform import engines
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import jobs
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines

TIMEOUT_S = 3.0
SHORT_LIMIT_S = 0.3
ATTEMPT = ids.AttemptId(ids.RequestId('1'), fleet.owner(), 1)
SOURCE = fleet.server('i-0', kind='prefill', host='10.0.0.9', port=80)
PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'


async def end(writer):
    writer.close()


async def pause_briefly(writer):
    await asyncio.sleep(0.05)


async def stand_still(writer):
    """Stop this process for longer than SHORT_LIMIT_S."""
    time.sleep(2 * SHORT_LIMIT_S)


class EnginesTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        pool = calls.pool()
        self.stack.callback(pool.close)
        self.client = engines.EngineClient(pool)
        forwarded_call = calls.ForwardedCall(
            'POST',
            '/drafts/2f?x=%20',
            (('Host', 'one.example'), ('Attempt-Id', runners.ATTEMPT)),
            b'a prompt',
            runners.ATTEMPT,
            asyncio.get_running_loop().time() + 14.0,
        )
        self.job = jobs.job(content=forwarded_call, prompt_tokens=1460)

    async def start(self, *steps):
        runner = runners.Runner(lambda call: steps)
        self.runner = await runner.start(self.stack)
        return self.runner.server()


class PrefillTests(EnginesTestCase):
    async def prefill(self, *steps):
        server = await self.start(*steps)
        action = actions.StartPrefill(ATTEMPT, server.id, ())
        async with asyncio.timeout(TIMEOUT_S):
            return await self.client.prefill(server, action, self.job)

    async def test_sends_prefill_and_returns_handle(self):
        event = await self.prefill(runners.answer(PREFILL_REPLY))
        expected = events.PrefillDone(ATTEMPT, runners.HANDLE, 1460)
        self.assertEqual(event, expected)
        (call,) = self.runner.calls
        self.assertEqual(call.target, '/drafts/2f?x=%20')
        self.assertEqual(call.body, b'a prompt')
        self.assertEqual(call.headers['Stage'], 'prefill')
        self.assertEqual(call.headers['Expect-Instance'], 'i-1')
        self.assertLessEqual(int(call.headers['Deadline-Ms']), 14000)

    async def test_failed_prefill_never_counts_as_sent(self):
        other = runners.answer(PREFILL_REPLY, attempt='other')
        for step in (
            runners.not_run(),
            runners.reset,
            other,
            runners.answer(b'{}'),
            runners.answer(status='500 Error'),
            b'nonsense\r\n\r\n',
        ):
            with self.subTest(str(step)):
                event = await self.prefill(step)
                self.assertIsInstance(event, events.AttemptFailed)
                self.assertFalse(event.sent)

    # Guards against an answer that has arrived and is not read, because
    # this process stood still.
    async def test_reads_answer_that_arrived_during_standstill(self):
        limit = mock.patch.object(
            engines, 'PREFILL_TIMEOUT_BASE_S', SHORT_LIMIT_S
        )
        with limit:
            event = await self.prefill(
                stand_still, runners.answer(PREFILL_REPLY)
            )
        self.assertIsInstance(event, events.PrefillDone)

    async def test_cancel_frees_result_that_was_not_fetched(self):
        server = await self.start(runners.answer(PREFILL_REPLY))
        action = actions.StartPrefill(ATTEMPT, server.id, ())
        await self.client.prefill(server, action, self.job)
        await self.client.cancel(server, [ATTEMPT])
        last = self.runner.calls[-1]
        self.assertEqual(last.method, 'DELETE')
        self.assertTrue(last.target.endswith('/kv-handle/3fa09c41b7d5'))
        await self.client.cancel(server, [ATTEMPT])
        self.assertEqual(len(self.runner.calls), 2)


class DecodeTests(EnginesTestCase):
    async def decode(self, *steps, produced=(), handle=runners.HANDLE):
        server = await self.start(*steps)
        action = actions.StartDecode(
            ATTEMPT, server.id, SOURCE.id, handle, produced
        )
        received = []
        async with asyncio.timeout(TIMEOUT_S):
            async for batch in self.client.decode(
                server, action, SOURCE, self.job
            ):
                received += batch
        return received

    async def test_relays_complete_stream(self):
        began, *tokens, done = await self.decode(runners.stream(1, 3))
        self.assertEqual(began.head.status, 200)
        texts = [token.text for token in tokens]
        self.assertEqual(texts, [runners.event(n) for n in (1, 2, 3)])
        self.assertEqual([token.index for token in tokens], [0, 1, 2])
        self.assertEqual(done, events.DecodeDone(ATTEMPT, 3, 'stop'))
        (call,) = self.runner.calls
        place = f'10.0.0.9:80/{runners.HANDLE}'
        self.assertEqual(call.headers['Kv-Source'], place)
        self.assertNotIn('Last-Event-Id', call.headers)

    # Guards against a stream that is cut although its server goes on,
    # because this process stood still.
    async def test_follows_stream_through_standstill(self):
        first, second = (
            scripted_engines.chunk(runners.event(n)) for n in (1, 2)
        )
        limits = mock.patch.multiple(
            engines,
            FIRST_EVENT_TIMEOUT_S=SHORT_LIMIT_S,
            BETWEEN_EVENTS_TIMEOUT_S=SHORT_LIMIT_S,
        )
        with limits:
            received = await self.decode(
                stand_still,
                runners.stream_head() + first,
                pause_briefly,
                stand_still,
                second + scripted_engines.chunk(b''),
            )
        self.assertEqual(received[-1], events.DecodeDone(ATTEMPT, 2, 'stop'))

    async def test_resumes_stream_after_last_event(self):
        produced = (runners.event(1), runners.event(2))
        received = await self.decode(runners.stream(3, 4), produced=produced)
        self.assertEqual([token.index for token in received[1:-1]], [2, 3])
        self.assertEqual(received[-1].tokens, 4)
        (call,) = self.runner.calls
        self.assertEqual(call.headers['Last-Event-Id'], '2')

    async def test_sends_no_source_without_prefill(self):
        await self.decode(runners.stream(1, 1), handle='')
        (call,) = self.runner.calls
        self.assertNotIn('Kv-Source', call.headers)

    async def test_refused_call_does_not_count_as_sent(self):
        (event,) = await self.decode(runners.not_run())
        self.assertFalse(event.sent)
        self.assertIs(event.reason, outcomes.Reason.BACKEND_FULL)

    async def test_truncated_stream_fails_without_partial_event(self):
        whole = runners.stream(1, 2)
        for size in range(len(runners.stream_head()), len(whole)):
            with self.subTest(size):
                received = await self.decode(whole[:size], end)
                self.assertIsInstance(received[-1], events.AttemptFailed)
                self.assertTrue(received[-1].sent)
                for token in received[1:-1]:
                    self.assertTrue(token.text.endswith(b'\n\n'))

    async def test_stream_end_within_event_fails(self):
        received = await self.decode(
            runners.stream_head(),
            scripted_engines.chunk(runners.event(1) + b'id: 2\nda'),
            scripted_engines.chunk(b''),
        )
        self.assertIsInstance(received[-1], events.AttemptFailed)

    async def decode_without_length(self, *steps, produced=()):
        return await self.decode(
            runners.stream_head_without_length(), *steps, produced=produced
        )

    async def test_stream_without_length_or_chunks_ends_at_close(self):
        whole = runners.event(1) + runners.event(2)
        received = await self.decode_without_length(whole, end)
        self.assertEqual(received[-1], events.DecodeDone(ATTEMPT, 2, 'stop'))

    async def test_stream_without_length_fails_at_reset_after_an_event(self):
        received = await self.decode_without_length(
            runners.event(1), pause_briefly, runners.reset
        )
        self.assertIsInstance(received[-1], events.AttemptFailed)

    async def test_stream_without_length_that_ends_within_event_fails(self):
        whole = runners.event(1) + runners.event(2)
        for size in range(len(runners.event(1)) + 1, len(whole)):
            with self.subTest(size):
                received = await self.decode_without_length(whole[:size], end)
                self.assertIsInstance(received[-1], events.AttemptFailed)
                self.assertEqual(len(received), 3)

    async def test_stream_without_length_that_has_no_event_fails(self):
        received = await self.decode_without_length(end)
        self.assertIsInstance(received[-1], events.AttemptFailed)
        self.assertTrue(received[-1].sent)

    async def test_resumed_stream_without_length_may_have_no_more_events(self):
        received = await self.decode_without_length(
            end, produced=(runners.event(1),)
        )
        self.assertEqual(received[-1], events.DecodeDone(ATTEMPT, 1, 'stop'))

    async def test_inspection_tells_whether_server_has_crashed(self):
        server = await self.start(runners.answer())
        inspected = await self.client.inspect(server, ATTEMPT)
        self.assertFalse(inspected.crashed)
        self.assertEqual(self.runner.calls, [])
        self.runner.stop_listening()
        inspected = await self.client.inspect(server, ATTEMPT)
        self.assertTrue(inspected.crashed)

    async def test_concurrent_inspections_share_one_connection(self):
        server = await self.start(runners.answer())
        await asyncio.gather(
            *[self.client.inspect(server, ATTEMPT) for _ in range(5)]
        )
        await asyncio.sleep(0.05)
        self.assertEqual(self.runner.connections, 1)

    async def test_stream_that_sends_bytes_but_no_event_times_out(self):
        async def trickle(writer):
            for byte in runners.event(2)[:-1] * 100:
                writer.write(scripted_engines.chunk(bytes([byte])))
                await asyncio.sleep(0.05)

        with mock.patch.object(engines, 'BETWEEN_EVENTS_TIMEOUT_S', 0.2):
            received = await self.decode(
                runners.stream_head(),
                scripted_engines.chunk(runners.event(1)),
                trickle,
            )
        self.assertIsInstance(received[1], events.TokenArrived)
        self.assertIs(received[-1].reason, outcomes.Reason.BACKEND_SILENT)

    async def test_slow_stream_with_progress_is_not_cut(self):
        async def pause(writer):
            await asyncio.sleep(0.15)

        steps = [runners.stream_head()]
        for number in range(1, 6):
            event = runners.event(number)
            for part in (event[:5], event[5:]):
                steps += [pause, scripted_engines.chunk(part)]
        with mock.patch.object(engines, 'BETWEEN_EVENTS_TIMEOUT_S', 0.5):
            received = await self.decode(*steps, scripted_engines.chunk(b''))
        self.assertEqual(received[-1], events.DecodeDone(ATTEMPT, 5, 'stop'))

    # Guards against a sound stream that is cut while its client waits.

    async def test_silent_stream_is_followed_while_its_client_waits(self):
        async def pause(writer):
            await asyncio.sleep(0.5)

        steps = [
            runners.stream_head(),
            scripted_engines.chunk(runners.event(1)),
            pause,
            scripted_engines.chunk(runners.event(2)),
            scripted_engines.chunk(b''),
        ]
        for wait_s, repeatable, whole in (
            (1.0, False, True),
            (0.3, False, False),
            (1.0, True, False),
        ):
            self.job = dataclasses.replace(
                self.job, event_wait_s=wait_s, repeatable=repeatable
            )
            with (
                self.subTest(wait_s=wait_s, repeatable=repeatable),
                mock.patch.object(engines, 'BETWEEN_EVENTS_TIMEOUT_S', 0.2),
            ):
                received = await self.decode(*steps)
                done = isinstance(received[-1], events.DecodeDone)
                self.assertIs(done, whole)

    async def test_event_without_end_fails_and_closes_connection(self):
        closed = asyncio.Event()

        async def send(writer):
            try:
                while True:
                    writer.write(scripted_engines.chunk(b'data: x' * 1000))
                    await writer.drain()
            finally:
                closed.set()

        received = await self.decode(runners.stream_head(), send)
        self.assertIs(received[-1].reason, outcomes.Reason.BACKEND_FAILED)
        self.assertTrue(received[-1].sent)
        async with asyncio.timeout(TIMEOUT_S):
            await closed.wait()

    async def test_rejects_answer_to_another_call(self):
        (event,) = await self.decode(runners.stream_head('other'))
        self.assertTrue(event.sent)
        self.assertIs(event.reason, outcomes.Reason.BACKEND_FAILED)

    async def test_error_status_counts_as_sent(self):
        (event,) = await self.decode(runners.answer(status='500 Error'))
        self.assertTrue(event.sent)
