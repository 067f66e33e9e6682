import asyncio
import contextlib
import functools
import gc
import time
import tracemalloc
import unittest
from unittest import mock

from returns import result

from bulrushrudder.engines import connection_pool
from bulrushrudder.engines import network
from bulrushrudder.engines import responses
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import runners

TEST_TIMEOUT_S = 3.0
BODY_BYTES = 500_000
LARGE_CALL_BYTES = 24 * 1024 * 1024
GET = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nX-First: 1\r\n\r\nhalf'
answer = functools.partial(runners.answer, attempt='')


async def end(writer):
    writer.close()


async def send_without_end(closed, piece, writer):
    """Send a piece again and again until the caller closes."""
    try:
        while True:
            writer.write(piece * 10)
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        closed.set()


async def answer_after_late_reading(reader, writer):
    """Read nothing of a call for longer than a lost path is waited for."""
    writer.transport.pause_reading()
    await asyncio.sleep(3.5)
    writer.transport.resume_reading()
    head = await reader.readuntil(b'\r\n\r\n')
    await reader.readexactly(LARGE_CALL_BYTES - len(head))
    writer.write(answer())
    await writer.drain()


async def pause_briefly(writer):
    await asyncio.sleep(0.05)


class ConnectionsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.pool = connection_pool.ConnectionPool('attempt-id')
        self.stack.callback(self.pool.close)

    async def start(self, *steps):
        runner = runners.Runner(lambda call: steps)
        self.runner = await runner.start(self.stack)
        return self.runner.server()

    # Guards against a server that reads a large call late being taken for a
    # lost path.

    async def test_server_that_reads_a_large_call_late_answers_it(self):
        listener = await asyncio.start_server(
            answer_after_late_reading, '127.0.0.1', 0
        )
        self.stack.callback(listener.close)
        server = fleet.server(port=listener.sockets[0].getsockname()[1])
        data = GET + bytes(LARGE_CALL_BYTES - len(GET))
        call = responses.Call(data, '')
        async with asyncio.timeout(3.5 + TEST_TIMEOUT_S):
            async with self.pool.call(server, call) as opened:
                head = await opened.unwrap().part()
        self.assertIsInstance(head, responses.Head)

    async def call(self, server, data=GET, call_id='', **terms):
        """Return all parts of the response to one call."""
        parts = []
        call = responses.Call(data, call_id)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            async with self.pool.call(server, call, **terms) as opened:
                match opened:
                    case result.Failure(problem):
                        return [problem]
                while not parts or not _is_last(parts[-1]):
                    parts.append(await opened.unwrap().part())
        return parts

    async def check_complete(self, server, body, **terms):
        head, *pieces, last = await self.call(server, **terms)
        self.assertEqual(head.status, 200)
        self.assertEqual(b''.join(p.data for p in pieces), body)
        self.assertIsInstance(last, responses.End)

    async def test_reuses_connection_after_complete_response(self):
        server = await self.start(answer(b'one'))
        for _ in range(3):
            await self.check_complete(server, b'one')
        self.assertEqual(self.runner.connections, 1)

    async def test_request_is_not_sent_if_zone_is_evacuated_meanwhile(self):
        # Other calls, such as those that free a result, still go there.
        server = await self.start(answer(b'one'))
        await self.check_complete(server, b'one')
        with mock.patch.object(
            network.DirectNetwork, 'may_send', return_value=False
        ):
            call = responses.Call(GET, starts_work=True)
            async with self.pool.call(server, call) as opened:
                self.assertFalse(opened.failure().sent)
            await self.check_complete(server, b'one')
        self.assertEqual(len(self.runner.calls), 2)

    # Guards against a server that is taken for unreachable because this
    # process stood still, which ended resumable streams.
    async def test_connects_to_server_after_standstill_of_this_process(self):
        server = await self.start(answer(b'one'))
        calling = asyncio.create_task(self.call(server))
        checking = asyncio.create_task(self.pool.check(server))
        await asyncio.sleep(0)
        time.sleep(2 * network.CONNECT_TIMEOUT_S)
        head, *_ = await calling
        self.assertIsInstance(head, responses.Head)
        self.assertIs(await checking, connection_pool.Listening.ACCEPTS)

    async def test_call_with_id_of_earlier_call_uses_another_connection(self):
        runner = runners.Runner(
            lambda call: [runners.answer(attempt=call.headers['Attempt-Id'])]
        )
        server = (await runner.start(self.stack)).server()
        for call_id, connection in (('a', 1), ('a', 2), ('b', 2), ('c', 2)):
            data = GET.replace(b'Host: x', b'Attempt-Id: ' + call_id.encode())
            await self.call(server, data, call_id)
            self.assertEqual(runner.calls[-1].connection, connection)

    # Guards against what clients send being kept by idle connections.

    async def test_idle_connection_keeps_little_of_its_calls(self):
        runner = runners.Runner(
            lambda call: [runners.answer(attempt=call.headers['Attempt-Id'])]
        )
        server = (await runner.start(self.stack)).server()
        await self.call_with_id(server, 'first')
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        for number in range(64):
            await self.call_with_id(
                server, f'{number:015000}', bytes(BODY_BYTES)
            )
        runner.calls.clear()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        self.assertEqual(runner.connections, 1)
        # The runner keeps the body of the latest call.
        self.assertLess(after - before, 1.5 * BODY_BYTES)

    async def call_with_id(self, server, call_id, body=b''):
        data = GET.replace(
            b'Host: x',
            f'Attempt-Id: {call_id}\r\nContent-Length: {len(body)}'.encode(),
        )
        return await self.call(server, data + body, call_id)

    async def test_does_not_reuse_connection_after_skipped_response(self):
        def reply(call):
            copy = runners.answer(b'old', attempt='a')
            sent = runners.answer(attempt=call.headers['Attempt-Id'])
            return [copy + sent if call.headers['Attempt-Id'] == 'b' else sent]

        runner = runners.Runner(reply)
        server = (await runner.start(self.stack)).server()
        for call_id, connection in (('a', 1), ('b', 1), ('c', 2)):
            data = GET.replace(b'Host: x', b'Attempt-Id: ' + call_id.encode())
            parts = await self.call(server, data, call_id)
            self.assertEqual(parts[0].header('attempt-id'), call_id)
            self.assertIsInstance(parts[-1], responses.End)
            self.assertEqual(runner.calls[-1].connection, connection)

    async def test_does_not_reuse_connection_after_extra_bytes(self):
        server = await self.start(answer(b'one') + b'more')
        for _ in range(2):
            await self.check_complete(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_does_not_reuse_connection_after_second_response(self):
        server = await self.start(answer(b'one') + answer(b'two'))
        for _ in range(2):
            await self.check_complete(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_closes_idle_connection_that_receives_bytes(self):
        server = await self.start(
            answer(b'one'), pause_briefly, answer(b'late')
        )
        await self.check_complete(server, b'one')
        await asyncio.sleep(0.2)
        await self.check_complete(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_does_not_reuse_connection_after_connection_close_header(
        self,
    ):
        server = await self.start(
            answer(b'one', headers=[('Connection', 'close')])
        )
        for _ in range(2):
            await self.check_complete(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_does_not_reuse_connection_idle_for_too_long(self):
        server = await self.start(answer(b'one'))
        await self.check_complete(server, b'one')
        await asyncio.sleep(0.05)
        await self.check_complete(server, b'one', idle_s=0.01)
        self.assertEqual(self.runner.connections, 2)

    async def test_does_not_reuse_connection_past_keep_alive_timeout(self):
        server = await self.start(
            answer(b'one', headers=[('Keep-Alive', 'timeout=0')])
        )
        for _ in range(2):
            await self.check_complete(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_does_not_reuse_connection_after_early_response(self):
        async def serve(reader, writer):
            writer.write(answer(b'early'))
            await asyncio.sleep(1.0)
            writer.close()

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.stack.callback(listener.close)
        port = listener.sockets[0].getsockname()[1]
        server = runners.fleet.server('i-1', port=port)
        body = bytes(16 * 1024 * 1024)
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(body)
        parts = await self.call(server, head + body)
        self.assertIsInstance(parts[-1], responses.End)
        self.assertEqual(sum(map(len, self.pool._idle_by_server.values())), 0)

    async def test_response_without_length_ends_at_close(self):
        server = await self.start(WITHOUT_LENGTH, end)
        await self.check_complete(server, b'half')

    async def test_response_without_length_fails_at_reset(self):
        server = await self.start(WITHOUT_LENGTH, pause_briefly, runners.reset)
        parts = await self.call(server)
        self.assertIsInstance(parts[-1], responses.Problem)
        self.assertTrue(parts[-1].sent)

    async def test_truncated_response_is_a_problem(self):
        whole = answer(b'a body of some length')
        for size in range(1, len(whole)):
            with self.subTest(size):
                server = await self.start(whole[:size], end)
                parts = await self.call(server)
                self.assertIsInstance(parts[-1], responses.Problem)
                self.assertTrue(parts[-1].sent)

    async def test_skips_interim_responses(self):
        interim = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
        server = await self.start(interim + answer(b'one'))
        await self.check_complete(server, b'one')

    async def test_rejects_reply_without_status_line(self):
        server = await self.start(b'\x00\x01 nothing\r\n\r\n')
        (problem,) = await self.call(server)
        self.assertIs(problem.kind, responses.ProblemKind.INVALID)
        self.assertTrue(problem.sent)

    async def test_refused_connection_counts_as_not_sent(self):
        server = await self.start()
        unreachable = runners.fleet.server('i-1', port=1)
        (problem,) = await self.call(unreachable)
        self.assertIs(problem.kind, responses.ProblemKind.UNREACHABLE)
        self.assertFalse(problem.sent)
        self.assertEqual(server.port, self.runner.port)

    async def test_bytes_without_end_close_connection(self):
        head = WITHOUT_LENGTH.partition(b'\r\n\r\n')[0] + b'\r\n'
        chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
        for name, start, piece in (
            ('header lines', head, b'X-More: x\r\n'),
            ('one header', head + b'X-Long: ', b'x' * 1000),
            ('status line', b'HTTP/1.1 200 ', b'x' * 1000),
            ('interim responses', b'', b'HTTP/1.1 103 Hints\r\n\r\n'),
            ('chunk extension', chunked + b'1;', b'x' * 1000),
            ('trailers', chunked + b'1\r\nx\r\n0\r\n', b'X-T: x\r\n'),
        ):
            with self.subTest(name):
                sent = asyncio.Event()
                server = await self.start(
                    start, functools.partial(send_without_end, sent, piece)
                )
                parts = await self.call(server)
                self.assertIs(parts[-1].kind, responses.ProblemKind.INVALID)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await sent.wait()

    async def test_small_chunks_are_not_mistaken_for_bytes_without_end(self):
        head = WITHOUT_LENGTH.partition(b'\r\n\r\n')[0] + b'\r\n'
        chunks = b'1\r\nx\r\n' * 50_000 + b'0\r\n\r\n'
        server = await self.start(
            head + b'Transfer-Encoding: chunked\r\n\r\n' + chunks
        )
        await self.check_complete(server, b'x' * 50_000)

    async def test_does_not_retry_after_reset(self):
        server = await self.start(runners.reset)
        (problem,) = await self.call(server)
        self.assertTrue(problem.sent)
        self.assertEqual(len(self.runner.calls), 1)

    async def test_cancelled_call_does_not_return_connection_to_pool(self):
        server = await self.start(pause_briefly)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.02):
                async with self.pool.call(
                    server, responses.Call(GET)
                ) as opened:
                    await opened.unwrap().part()
        self.assertEqual(sum(map(len, self.pool._idle_by_server.values())), 0)


def _is_last(part):
    return isinstance(part, responses.End | responses.Problem)
