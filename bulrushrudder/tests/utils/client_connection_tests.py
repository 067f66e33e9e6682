import asyncio
import contextlib
import dataclasses
import socket
import unittest

from aiohttp import web

from bulrushrudder.config import settings
from bulrushrudder.utils import client_ledger
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import http_listener
from bulrushrudder.utils import paced_response
from bulrushrudder.utils import ports

REQUEST = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc'
TIMEOUT_S = 20.0
LIMITS = client_limits.derive(memory_mb=88, max_fds=256)
Closing = client_ledger.Closing
Holding = client_ledger.Holding


class ClientConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.gate = asyncio.Event()
        self.gate.set()
        self.handled = 0

    async def listen(self, body=b'whole', **changes):
        async def answer(request):
            self.handled += 1
            await self.gate.wait()
            received = await request.read()
            return paced_response.PacedResponse(
                body=body, headers={'Received': str(len(received))}
            )

        app = web.Application(client_max_size=2**23)
        app.router.add_post('/', answer)
        limits = dataclasses.replace(LIMITS, **changes)
        self.listener = http_listener.HttpListener(
            app, http_listener.Options(limits=limits, cancel_handlers=True)
        )
        address = settings.Address(ports.LOOPBACK, 0)
        await self.listener.open(self.stack, address)
        self.ledger = self.listener.ledger

    async def connect(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((ports.LOOPBACK, self.listener.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
        self.addCleanup(writer.close)
        return reader, writer

    async def read(self, reader):
        """Return the head and the body of an answer."""
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
            length = int(head.lower().split(b'content-length: ')[1].split()[0])
            return head, await reader.readexactly(length)

    async def wait_until(self, holds):
        async with asyncio.timeout(TIMEOUT_S):
            while not holds():
                await asyncio.sleep(0.02)

    # Guards against calls sent ahead that are parsed and held.

    async def test_what_is_sent_ahead_stays_in_the_kernel(self):
        await self.listen()
        self.gate.clear()
        reader, writer = await self.connect()
        writer.write(REQUEST * 20_000)
        await self.wait_until(lambda: self.handled)
        await self.wait_until(
            lambda: (
                self.ledger.held_by_holding[Holding.AHEAD]
                >= LIMITS.ahead_bytes
            )
        )
        await asyncio.sleep(0.1)
        self.assertLess(
            self.ledger.held_by_holding[Holding.AHEAD],
            2 * LIMITS.ahead_bytes,
        )
        self.assertEqual(self.handled, 1)
        self.gate.set()
        for _ in range(1000):
            head, body = await self.read(reader)
            self.assertIn(b' 200 ', head)
            self.assertEqual(body, b'whole')

    async def test_upload_in_chunks_and_what_follows_it_are_answered(self):
        await self.listen()
        reader, writer = await self.connect()
        chunk = b'%x\r\n%s\r\n' % (50_000, b'a' * 50_000)
        writer.write(
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
            + chunk * 80
            + b'0\r\n\r\n'
            + REQUEST * 3
        )
        for length in (b'4000000', b'3', b'3', b'3'):
            head, _ = await self.read(reader)
            self.assertIn(b'Received: %s\r\n' % length, head)

    async def test_expected_upload_is_asked_for(self):
        await self.listen()
        reader, writer = await self.connect()
        writer.write(
            b'POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n'
            b'Content-Length: 3\r\n\r\n'
        )
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 100 ', head)
        writer.write(b'abc')
        head, _ = await self.read(reader)
        self.assertIn(b'Received: 3\r\n', head)

    # Guards against answers that wait for their client for ever.

    async def test_answer_that_nobody_reads_is_given_up(self):
        await self.listen(b'x' * 1_000_000, unread_s=0.2)
        _, writer = await self.connect()
        writer.transport.pause_reading()
        writer.write(REQUEST)
        await self.wait_until(lambda: self.handled)
        await self.wait_until(lambda: not self.ledger.connections)
        self.assertEqual(
            self.ledger.closed_by_closing, {Closing.UNREAD_TIMEOUT: 1}
        )
        self.assertEqual(sum(self.ledger.held_by_holding.values()), 0)

    async def test_slow_reader_gets_the_whole_answer(self):
        body = b'x' * 2_000_000
        await self.listen(body, unread_s=1.0)
        reader, writer = await self.connect()
        writer.write(REQUEST)
        async with asyncio.timeout(TIMEOUT_S):
            await reader.readuntil(b'\r\n\r\n')
            for _ in range(20):
                await reader.readexactly(100_000)
                await asyncio.sleep(0.1)
        self.assertFalse(self.ledger.closed_by_closing)

    # Guards against an answer that is closed as unread when it has just
    # begun, because the call before it took long.

    async def test_answer_that_has_just_begun_counts_as_progress(self):
        await self.listen(b'x' * 3_000_000)
        self.gate.clear()
        _, writer = await self.connect()
        writer.transport.pause_reading()
        writer.write(REQUEST)
        await self.wait_until(lambda: self.handled)
        called_s = asyncio.get_running_loop().time()
        await asyncio.sleep(2 * client_ledger.HARD_GRACE_S)
        self.gate.set()
        (connection,) = self.ledger._connections
        await self.wait_until(
            lambda: connection.stage() is client_ledger.Stage.UNREAD
        )
        progressed_s = connection.progressed_s(0.0)
        self.assertGreater(progressed_s, called_s + client_ledger.HARD_GRACE_S)

    # Guards against a crowd that keeps others from connecting for good.

    async def test_connection_is_accepted_once_idle_ones_are_closed(self):
        await self.listen(connections=2)
        for _ in range(2):
            await self.connect()
        reader, writer = await self.connect()
        writer.write(REQUEST)
        self.assertIn(b' 200 ', (await self.read(reader))[0])
        self.assertEqual(self.ledger.closed_by_closing[Closing.IDLE], 1)

    async def test_request_without_room_is_refused(self):
        await self.listen(held_bytes=client_ledger.CONNECTION_BYTES)
        reader, writer = await self.connect()
        writer.write(REQUEST)
        head, _ = await self.read(reader)
        self.assertIn(b' 503 ', head)
        self.assertIn(b'Retry-After', head)
        self.assertEqual((self.handled, self.ledger.refused), (0, 1))


class StandInConnection:
    """A connection in a given stage."""

    def __init__(self, ledger, dropped, stage, since_s):
        self.held_by_holding = {}
        self._ledger = ledger
        self._dropped = dropped
        self._stage = stage
        self._since_s = since_s

    def stage(self):
        return self._stage

    def progressed_s(self, now_s):
        return now_s - self._since_s

    def drop(self, closing):
        self._dropped.append((closing, self._since_s))
        self._ledger.remove(self)


class LedgerTests(unittest.IsolatedAsyncioTestCase):
    async def test_connections_are_closed_in_the_stated_order(self):
        ledger = client_ledger.Ledger(
            dataclasses.replace(
                LIMITS, held_bytes=8 * client_ledger.CONNECTION_BYTES
            )
        )
        dropped = []
        stage = client_ledger.Stage
        for kind, since_s in (
            (stage.IDLE, 90.0),
            (stage.BUSY, 90.0),
            (stage.INCOMPLETE, 5.0),
            (stage.INCOMPLETE, 9.0),
            (stage.UNREAD, 3.0),
            (stage.UNREAD, 7.0),
            (stage.UNREAD, 0.0),
            (stage.IDLE, 0.0),
        ):
            ledger.add(StandInConnection(ledger, dropped, kind, since_s))
        asked = 7 * client_ledger.CONNECTION_BYTES
        for _ in range(6):
            ledger.make_room(asked)
            await asyncio.sleep(client_ledger.SEARCH_INTERVAL_S)
        self.assertEqual(
            dropped,
            [
                (Closing.UNREAD, 7.0),
                (Closing.UNREAD, 3.0),
                (Closing.INCOMPLETE, 9.0),
                (Closing.INCOMPLETE, 5.0),
                (Closing.IDLE, 90.0),
            ],
        )

    async def test_limits_follow_from_the_vm(self):
        small = client_limits.derive(88, 1000)
        large = client_limits.derive(296, 1000)
        self.assertLess(small.held_bytes, 24 * client_limits.MIB)
        self.assertLess(small.held_bytes, large.held_bytes)
        self.assertEqual((small.connections, small.calls), (562, 187))

    # Guards against a minimum that a small VM does not have.

    async def test_small_vm_holds_no_more_than_it_has(self):
        limits = client_limits.derive(70, 1000, share=1.0)
        spare_bytes = (70 - client_limits.REST_MB) * client_limits.MIB
        self.assertLessEqual(limits.held_bytes, spare_bytes / 2)
        tiny = client_limits.derive(32, 1000)
        self.assertGreater(tiny.held_bytes, client_ledger.CONNECTION_BYTES)

    # Guards against listeners that each take what the whole VM has.

    async def test_listeners_of_a_process_share_its_vm(self):
        limits = [
            client_limits.derive(88, 1000, share=share)
            for share in (
                client_limits.CALLERS_SHARE,
                client_limits.BACKENDS_SHARE,
                client_limits.INNER_SHARE,
                client_limits.PROBES_SHARE,
                client_limits.METRICS_SHARE,
                client_limits.REPLIES_SHARE,
            )
        ]
        held = client_limits.derive(88, 1000, share=1.0).held_bytes
        self.assertLessEqual(sum(one.connections for one in limits), 750)
        self.assertLessEqual(sum(one.held_bytes for one in limits), held)
        halves = client_limits.derive(296, 1000, share=1.0, roles=2)
        whole = client_limits.derive(296, 1000, share=1.0)
        self.assertLessEqual(2 * halves.held_bytes, whole.held_bytes)
        self.assertLessEqual(2 * halves.connections, whole.connections)
