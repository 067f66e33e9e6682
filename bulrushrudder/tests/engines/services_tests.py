import asyncio
import contextlib
import unittest
from unittest import mock

import aiohttp
from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import services
from bulrushrudder.tests.builders import scripted_engines

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CALL = services.Call('POST', '/book', (), b'x', 3.0)


class ServiceClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.closed = asyncio.Event()

    async def call(self, *steps):
        server = await scripted_engines.ScriptedEngine(*steps).start(
            self.stack
        )
        session = await self.stack.enter_async_context(aiohttp.ClientSession())
        return await services.ServiceClient(session).call(server, CALL)

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

    # Guards against an answer without end that fills the memory.

    async def test_body_without_end_fails_and_closes_connection(self):
        with mock.patch.object(services, 'MAX_RESPONSE_BYTES', 100_000):
            reply = await self.call(HEAD, self.send_without_end)
        match reply:
            case result.Failure(refusal):
                unknown = outcomes.Execution.UNKNOWN
                self.assertIs(refusal.execution, unknown)
            case _:
                self.fail(reply)
        async with asyncio.timeout(3.0):
            await self.closed.wait()
