import asyncio
import contextlib
import socket
import time
import unittest

from aiohttp import web

from bulrushrudder.config import settings
from bulrushrudder.utils import http_listener
from bulrushrudder.utils import ports
from bulrushrudder.utils import web as web_utils

HEADER_S = 0.2
IDLE_S = 5.0
TEST_TIMEOUT_S = 10.0
REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


async def answer(request):
    return web.Response(text='mine')


class ListenTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def first_bytes(self, sent, on_accept=lambda: None):
        """Return the first bytes that a caller gets; empty at a close.

        :param sent: what the caller sends before it is accepted.
        :param on_accept: called when its connection is accepted.
        """

        def get_timeouts():
            on_accept()
            return http_listener.ConnectionTimeouts(HEADER_S, IDLE_S)

        application = web.Application()
        application.router.add_get('/', answer)
        port = await web_utils.listen(
            self.stack,
            application,
            settings.Address(ports.LOOPBACK, 0),
            http_listener.Options(get_timeouts=get_timeouts),
        )
        caller = self.stack.enter_context(socket.socket())
        caller.connect((ports.LOOPBACK, port))
        caller.sendall(sent)
        caller.setblocking(False)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await asyncio.get_running_loop().sock_recv(caller, 100)

    # Guards against a connection that closes without an answer because
    # this process stood still when the headers arrived.
    async def test_answers_headers_that_arrived_during_standstill(self):
        def stand_still():
            asyncio.get_running_loop().call_soon(time.sleep, 2 * HEADER_S)

        received = await self.first_bytes(REQUEST, stand_still)
        self.assertTrue(received.startswith(b'HTTP/1.1 200'), received)

    async def test_closes_connection_without_complete_headers(self):
        began_s = time.monotonic()
        self.assertEqual(await self.first_bytes(REQUEST[:-2]), b'')
        self.assertGreaterEqual(time.monotonic() - began_s, HEADER_S)
