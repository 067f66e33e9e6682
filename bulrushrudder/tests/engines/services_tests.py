import asyncio
import contextlib
import dataclasses
import unittest
from unittest import mock

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import connection_pool
from bulrushrudder.engines import services
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CALL = services.Call('POST', '/book', (), b'x', 3.0)
UPLOAD = dataclasses.replace(CALL, body=bytes(4 * 1024 * 1024))
WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\n\r\npart'


class ServiceClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.closed = asyncio.Event()
        self.pool = connection_pool.ConnectionPool('')
        self.stack.callback(self.pool.close)
        self.client = services.ServiceClient(self.pool)

    async def call(self, *steps, call=CALL):
        server = await scripted_engines.ScriptedEngine(*steps).start(
            self.stack
        )
        return await self.client.call(server, call)

    async def send_without_end(self, writer):
        try:
            while True:
                writer.write(scripted_engines.chunk(b'x' * 1000))
                await writer.drain()
        finally:
            self.closed.set()

    async def test_body_is_returned(self):
        sent = [scripted_engines.chunk(b'one'), scripted_engines.chunk(b'')]
        reply = await self.call(HEAD, *sent)
        self.assertEqual(reply.unwrap().body, b'one')

    def check_unknown(self, reply):
        match reply:
            case result.Failure(refusal):
                unknown = outcomes.Execution.UNKNOWN
                self.assertIs(refusal.execution, unknown)
            case _:
                self.fail(reply)

    # Guards against a part of an answer that is delivered, and recorded as
    # the answer of a call that runs at most once.

    async def test_end_without_length_during_upload_is_unknown(self):
        for rest in (runners.reset_soon, scripted_engines.half_close):
            reply = await self.call(
                WITHOUT_LENGTH, runners.shut_down, rest, call=UPLOAD
            )
            self.check_unknown(reply)

    async def test_reset_of_answer_without_length_is_unknown(self):
        reply = await self.call(WITHOUT_LENGTH, runners.reset_soon)
        self.check_unknown(reply)

    async def test_end_without_length_after_upload_is_complete(self):
        for call in (CALL, UPLOAD):
            runner = runners.Runner(lambda call: [WITHOUT_LENGTH, self.close])
            await runner.start(self.stack)
            reply = await self.client.call(runner.server(), call)
            self.assertEqual(reply.unwrap().body, b'part')
            self.assertEqual(runner.calls[0].body, call.body)

    async def close(self, writer):
        writer.close()

    # Guards against connections that pile up, as none is used again.

    async def test_connection_is_closed_if_the_server_keeps_it(self):
        runner = runners.Runner(lambda call: [runners.answer(b'one')])
        await runner.start(self.stack)
        await self.client.call(runner.server(), CALL)
        self.assertEqual(sum(map(len, self.pool._idle_by_server.values())), 0)

    async def test_early_end_with_length_is_complete(self):
        reply = await self.call(runners.answer(b'early'), call=UPLOAD)
        self.assertEqual(reply.unwrap().body, b'early')

    async def test_invalid_status_is_unknown(self):
        for status in ('000', '099', '101', '600', '999'):
            reply = await self.call(runners.answer(b'x', f'{status} X'))
            self.check_unknown(reply)

    # Guards against an answer without end that fills the memory.

    async def test_body_without_end_fails_and_closes_connection(self):
        with mock.patch.object(services, 'MAX_RESPONSE_BYTES', 100_000):
            reply = await self.call(HEAD, self.send_without_end)
        self.check_unknown(reply)
        async with asyncio.timeout(3.0):
            await self.closed.wait()
