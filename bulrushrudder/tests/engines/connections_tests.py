import asyncio
import contextlib
import unittest

from returns import result

from bulrushrudder.engines import connections
from bulrushrudder.tests.builders import runners

BOUND_S = 3.0
GET = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
UNFRAMED = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: '
    + runners.ATTEMPT.encode()
    + b'\r\n\r\nhalf'
)


async def end(writer):
    writer.close()


async def pause(writer):
    await asyncio.sleep(0.05)


class ConnectionsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.kept = connections.ConnectionPool()
        self.stack.callback(self.kept.close)

    async def start(self, *steps):
        runner = runners.Runner(lambda call: steps)
        self.runner = await runner.start(self.stack)
        return self.runner.server()

    async def call(self, server, data=GET, **terms):
        """Return all parts of one call."""
        found = []
        async with asyncio.timeout(BOUND_S):
            async with self.kept.call(server, data, **terms) as opened:
                match opened:
                    case result.Failure(problem):
                        return [problem]
                while not found or not _is_last(found[-1]):
                    found.append(await opened.unwrap().part())
        return found

    async def check_whole(self, server, body, **terms):
        head, *pieces, last = await self.call(server, **terms)
        self.assertEqual(head.status, 200)
        self.assertEqual(b''.join(p.data for p in pieces), body)
        self.assertIsInstance(last, connections.End)

    async def test_a_connection_is_used_again(self):
        server = await self.start(runners.answer(b'one'))
        for _ in range(3):
            await self.check_whole(server, b'one')
        self.assertEqual(self.runner.connections, 1)

    async def test_not_after_bytes_behind_an_answer(self):
        server = await self.start(runners.answer(b'one') + b'more')
        for _ in range(2):
            await self.check_whole(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_not_after_a_second_answer(self):
        server = await self.start(
            runners.answer(b'one') + runners.answer(b'two')
        )
        for _ in range(2):
            await self.check_whole(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_bytes_on_an_idle_connection_end_it(self):
        server = await self.start(
            runners.answer(b'one'), pause, runners.answer(b'late')
        )
        await self.check_whole(server, b'one')
        await asyncio.sleep(0.2)
        await self.check_whole(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_not_when_the_server_closes(self):
        server = await self.start(
            runners.answer(b'one', headers=[('Connection', 'close')])
        )
        for _ in range(2):
            await self.check_whole(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_not_when_it_was_idle_for_too_long(self):
        server = await self.start(runners.answer(b'one'))
        await self.check_whole(server, b'one')
        await asyncio.sleep(0.05)
        await self.check_whole(server, b'one', idle_s=0.01)
        self.assertEqual(self.runner.connections, 2)

    async def test_not_past_the_stated_idle_time(self):
        server = await self.start(
            runners.answer(b'one', headers=[('Keep-Alive', 'timeout=0')])
        )
        for _ in range(2):
            await self.check_whole(server, b'one')
        self.assertEqual(self.runner.connections, 2)

    async def test_not_when_the_call_was_answered_before_it_was_read(self):
        async def serve(reader, writer):
            writer.write(runners.answer(b'early'))
            await asyncio.sleep(1.0)
            writer.close()

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.stack.callback(listener.close)
        port = listener.sockets[0].getsockname()[1]
        server = runners.fleet.server('i-1', port=port)
        body = bytes(16 * 1024 * 1024)
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(body)
        parts = await self.call(server, head + body)
        self.assertIsInstance(parts[-1], connections.End)
        self.assertEqual(sum(map(len, self.kept._idle_by_server.values())), 0)

    async def test_an_answer_without_a_length_ends_with_its_connection(self):
        server = await self.start(UNFRAMED, end)
        await self.check_whole(server, b'half')

    async def test_but_not_with_a_reset(self):
        server = await self.start(UNFRAMED, pause, runners.reset)
        parts = await self.call(server)
        self.assertIsInstance(parts[-1], connections.Problem)
        self.assertTrue(parts[-1].sent)

    async def test_an_answer_cut_short_is_no_answer(self):
        whole = runners.answer(b'a body of some length')
        for size in range(1, len(whole)):
            with self.subTest(size):
                server = await self.start(whole[:size], end)
                parts = await self.call(server)
                self.assertIsInstance(parts[-1], connections.Problem)
                self.assertTrue(parts[-1].sent)

    async def test_interim_answers_are_left_out(self):
        interim = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
        server = await self.start(interim + runners.answer(b'one'))
        await self.check_whole(server, b'one')

    async def test_what_is_no_answer(self):
        server = await self.start(b'\x00\x01 nothing\r\n\r\n')
        (problem,) = await self.call(server)
        self.assertIs(problem.kind, connections.ProblemKind.INVALID)
        self.assertTrue(problem.sent)

    async def test_a_refused_connection_was_not_sent(self):
        server = await self.start()
        port = runners.fleet.server('i-1', port=1)
        (problem,) = await self.call(port)
        self.assertIs(problem.kind, connections.ProblemKind.UNREACHABLE)
        self.assertFalse(problem.sent)
        self.assertEqual(server.port, self.runner.port)

    async def test_nothing_is_sent_a_second_time(self):
        server = await self.start(runners.reset)
        (problem,) = await self.call(server)
        self.assertTrue(problem.sent)
        self.assertEqual(len(self.runner.calls), 1)

    async def test_a_call_given_up_leaves_no_connection(self):
        server = await self.start(pause)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.02):
                async with self.kept.call(server, GET) as opened:
                    await opened.unwrap().part()
        self.assertEqual(sum(map(len, self.kept._idle_by_server.values())), 0)


def _is_last(part):
    return isinstance(part, connections.End | connections.Problem)
