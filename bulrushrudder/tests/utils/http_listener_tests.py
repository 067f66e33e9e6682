import asyncio
import contextlib
import errno
import unittest

from aiohttp import web
import logbook

from bulrushrudder.config import settings
from bulrushrudder.utils import http_listener
from bulrushrudder.utils import paced_response
from bulrushrudder.utils import ports

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_S = 5.0
PIECE_PAUSE_S = 0.05


class HaltingResponse(paced_response.PacedResponse):
    """A response each of whose pieces is taken before the next is written."""

    async def write(self, data):
        await super().write(data)
        await asyncio.sleep(PIECE_PAUSE_S)


class FailingSocket:
    """A listening socket whose accept() fails some times.

    :ivar failures: how often it has failed.
    """

    def __init__(self, listening, number, times):
        self.failures = 0
        self._listening = listening
        self._number = number
        self._times = times
        self.fileno = listening.fileno
        self.close = listening.close

    def accept(self):
        if self.failures < self._times:
            self.failures += 1
            raise OSError(self._number, 'injected')
        return self._listening.accept()


class HttpListenerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.closing = False
        self.idle_s = 60.0

    async def listen(self, body=b'whole', respond=web.Response):
        async def answer(request):
            self.announced = request[http_listener.CLOSE_ANNOUNCED]
            return respond(body=body)

        app = web.Application()
        app.router.add_get('/', answer)
        options = http_listener.Options(
            get_timeouts=lambda: http_listener.ConnectionTimeouts(
                idle_s=self.idle_s
            ),
            closes_connections=lambda: self.closing,
        )
        self.listener = http_listener.HttpListener(app, options)
        address = settings.Address(ports.LOOPBACK, 0)
        await self.listener.open(self.stack, address)

    async def connect(self):
        reader, writer = await asyncio.open_connection(
            ports.LOOPBACK, self.listener.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def read_head(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.readuntil(b'\r\n\r\n')

    # Guards against connections that the kernel has established and the
    # process resets because it has not accepted them yet.

    async def test_established_connection_is_answered_after_the_stop(self):
        await self.listen()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener._acceptor._sockets[0])
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.listener.stop_accepting()
        self.assertIn(b' 200 ', await self.read_head(reader))
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()

    # Guards against a request that was read in the moment in which its
    # connection is closed as idle.

    async def test_request_that_was_just_read_is_answered(self):
        await self.listen()
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.read_head(reader)
        await reader.readexactly(len(b'whole'))
        (protocol,) = self.listener._runner.server.connections
        protocol.data_received(REQUEST)
        self.closing = True
        self.listener.close_idle()
        self.assertIn(b' 200 ', await self.read_head(reader))
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await reader.read(), b'whole')

    async def test_requests_on_their_way_are_answered_after_close(self):
        self.closing = True
        await self.listen()
        reader, writer = await self.connect()
        for announced in (False, True):
            writer.write(REQUEST)
            head = await self.read_head(reader)
            self.assertIn(b'Connection: close', head)
            await reader.readexactly(len(b'whole'))
            self.assertEqual(self.announced, announced)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await reader.read(), b'')

    # Guards against an answer that is cut off at the end of the process.

    async def test_flush_waits_for_a_slow_reader(self):
        body = b'x' * 8_000_000
        await self.listen(body)
        reader, writer = await self.connect()
        writer.transport.pause_reading()
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        await self.listener.stop_accepting()
        flush_task = asyncio.create_task(self.listener.flush(TIMEOUT_S))
        await asyncio.sleep(0.1)
        self.assertFalse(flush_task.done())
        writer.transport.resume_reading()
        await self.read_head(reader)
        self.assertEqual(await reader.readexactly(len(body)), body)
        await flush_task

    async def test_flush_ends_at_its_timeout(self):
        await self.listen(b'x' * 8_000_000)
        _, writer = await self.connect()
        writer.transport.pause_reading()
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(TIMEOUT_S):
            await self.listener.flush(0.2)

    # Guards against a loop that spins while no descriptor is free.

    async def test_accepts_again_after_descriptors_ran_out(self):
        await self.listen()
        logs = self.enterContext(logbook.TestHandler().applicationbound())
        failing = self.fail_to_accept(errno.EMFILE, times=1)
        reader, writer = await self.connect()
        writer.write(REQUEST)
        self.assertIn(b' 200 ', await self.read_head(reader))
        self.assertEqual(failing.failures, 1)
        names = [r.extra['event'].name for r in logs.records]
        self.assertEqual(names, ['unexpected error'])

    # Guards against connections that are lost behind one that was aborted
    # before it was accepted.

    async def test_established_connection_behind_an_error_is_answered(self):
        await self.listen()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener._acceptor._sockets[0])
        reader, writer = await self.connect()
        writer.write(REQUEST)
        self.fail_to_accept(errno.ECONNABORTED, times=1)
        await self.listener.stop_accepting()
        self.assertIn(b' 200 ', await self.read_head(reader))

    # Guards against an answer that is cut while it is written, because its
    # caller has taken all of it that was written so far.

    async def test_answer_in_pieces_outlasts_the_time_to_linger(self):
        self.closing = True
        pieces = int(4 * http_listener.LINGER_S / PIECE_PAUSE_S)
        body = b'x' * (pieces * paced_response.PIECE_BYTES)
        await self.listen(body, HaltingResponse)
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.read_head(reader)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await reader.readexactly(len(body)), body)

    # Guards against a pipelined request that is dropped because the answer
    # before it takes long to read.

    async def test_request_behind_a_slow_reader_is_answered(self):
        self.closing = True
        body = b'x' * 8_000_000
        await self.listen(body)
        reader, writer = await self.connect()
        writer.transport.pause_reading()
        writer.write(2 * REQUEST)
        await asyncio.sleep(2 * http_listener.LINGER_S)
        writer.transport.resume_reading()
        for _ in range(2):
            self.assertIn(b' 200 ', await self.read_head(reader))
            self.assertEqual(await reader.readexactly(len(body)), body)

    def fail_to_accept(self, number, times):
        """Let the listening socket fail to accept; return a stand-in."""
        failing = FailingSocket(
            self.listener._acceptor._sockets[0], number, times
        )
        loop = asyncio.get_running_loop()
        loop.remove_reader(failing)
        self.listener._acceptor._sockets[0] = failing
        self.listener._acceptor._watch(failing)
        return failing
