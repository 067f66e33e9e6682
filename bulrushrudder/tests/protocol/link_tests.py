import asyncio
import contextlib
import secrets
import struct
import unittest

import logbook
from returns import result

from bulrushrudder.config import settings
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import errors
from bulrushrudder.protocol import frames
from bulrushrudder.protocol import handshake_room
from bulrushrudder.protocol import link
from bulrushrudder.protocol import messages
from bulrushrudder.tests.builders import fleet
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import ports

SECRET = b'a secret of the cluster'
TIMEOUT_S = 5.0
LENGTH = struct.Struct('>I')


def frame(body):
    return LENGTH.pack(len(body)) + body


ACKNOWLEDGED = codec.encode(messages.Acknowledged())
INVALID_FRAMES = {
    'not MessagePack': frame(b'\xff\xff\xff'),
    'empty': frame(b''),
    'unknown tag': frame(b'\x91\xcd\x27\x0f'),
    'missing fields': frame(b'\x91\x04'),
    'trailing bytes': frame(ACKNOWLEDGED + b'\x00'),
    'oversized frame': LENGTH.pack(frames.MAX_FRAME_BYTES + 1),
    'invalid body': frame(codec.encode(messages.Request(1, b'\xff'))),
}


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log_handler = logbook.TestHandler()
        self.enterContext(self.log_handler.applicationbound())
        (port,) = ports.free_ports(1)
        self.address = settings.Address(ports.LOOPBACK, port)
        server = await link.listen(
            self.address,
            fleet.owner('server'),
            SECRET,
            self._respond,
            limits=client_limits.derive(
                memory_mb=88, share=client_limits.INNER_SHARE
            ),
        )
        self.addCleanup(server.close)

    async def _respond(self, link_, message):
        return messages.Acknowledged()

    async def _do_not_respond(self, link_, message):
        return None

    async def dial(self, secret=SECRET):
        return await link.dial(
            self.address, fleet.owner('client'), secret, self._do_not_respond
        )

    async def check_accepts_requests(self):
        dialled = (await self.dial()).unwrap()
        running = asyncio.create_task(dialled.run())
        response = await dialled.ask(messages.Acknowledged(), TIMEOUT_S)
        self.assertEqual(response, result.Success(messages.Acknowledged()))
        dialled.close()
        await running

    def events(self):
        return [r.extra['event'].name for r in self.log_handler.records]

    # Guards against connections without a handshake that leave no room.

    async def test_link_opens_beside_handshakes_that_do_not_end(self):
        silent = [
            await asyncio.open_connection(self.address.host, self.address.port)
            for _ in range(3 * handshake_room.MIN_HANDSHAKES)
        ]
        for _, writer in silent:
            self.addCleanup(writer.close)
        async with asyncio.timeout(TIMEOUT_S):
            while isinstance(await self.dial(), result.Failure):
                await asyncio.sleep(handshake_room.GRACE_S)

    # Guards against peers that wait for seconds when all dial at once.

    async def test_many_peers_open_links_at_the_same_time(self):
        dialling = [self.dial() for _ in range(150)]
        async with asyncio.timeout(TIMEOUT_S):
            for opened in await asyncio.gather(*dialling):
                self.assertIsInstance(opened, result.Success)

    async def test_invalid_message_closes_only_its_link(self):
        for name, data in INVALID_FRAMES.items():
            with self.subTest(name):
                self.log_handler.records.clear()
                dialled = (await self.dial()).unwrap()
                dialled._writer.write(data)
                async with asyncio.timeout(TIMEOUT_S):
                    await dialled.run()
                self.assertTrue(dialled.closed.is_set())
                self.assertIn('message invalid', self.events())
                await self.check_accepts_requests()

    async def test_truncated_message_closes_only_its_link(self):
        dialled = (await self.dial()).unwrap()
        dialled._writer.write(frame(ACKNOWLEDGED)[:-1])
        dialled._writer.write_eof()
        async with asyncio.timeout(TIMEOUT_S):
            await dialled.run()
        self.assertIn('link closed', self.events())
        await self.check_accepts_requests()

    async def test_refuses_link_that_does_not_start_with_hello(self):
        for data in (b'GET / HTTP/1.1\r\n\r\n', frame(ACKNOWLEDGED)):
            self.log_handler.records.clear()
            reader, writer = await asyncio.open_connection(
                self.address.host, self.address.port
            )
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(TIMEOUT_S):
                    await reader.read()
                    await reader.read()
            writer.close()
            self.assertIn('link refused', self.events())
        details = [
            r.extra['fields'].get('detail') for r in self.log_handler.records
        ]
        self.assertIn('the peer sent no Hello message', details)
        await self.check_accepts_requests()

    async def test_refuses_oversized_frame_in_handshake(self):
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        writer.write(LENGTH.pack(link.MAX_HANDSHAKE_BYTES + 1))
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(link.HANDSHAKE_TIMEOUT_S / 2):
                while await reader.read(1024):
                    pass
        writer.close()
        self.assertIn('link refused', self.events())

    async def test_refuses_wrong_secret_and_wrong_version(self):
        refused = await self.dial(b'another secret of the cluster')
        self.assertIsInstance(refused, result.Failure)
        version = messages.VERSION
        self.addCleanup(setattr, messages, 'VERSION', version)
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        hello = messages.Hello(version + 1, fleet.owner('client'), b'n' * 16)
        writer.write(frame(codec.encode(hello)))
        async with asyncio.timeout(TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                await reader.read(-1)
        writer.close()
        details = [
            r.extra['fields'].get('detail') for r in self.log_handler.records
        ]
        self.assertIn(
            f'the peer speaks protocol version {version + 1},'
            f' expected {version}',
            details,
        )

    async def test_oversized_message_is_not_sent_and_keeps_link_open(self):
        dialled = (await self.dial()).unwrap()
        running = asyncio.create_task(dialled.run())
        body = secrets.token_bytes(frames.MAX_FRAME_BYTES + 1)
        refused = await dialled.ask(messages.Response(1, body), TIMEOUT_S)
        self.assertFalse(refused.failure().sent)
        self.assertIs(
            refused.failure().problem, errors.LinkProblem.MESSAGE_TOO_LARGE
        )
        self.assertFalse(dialled.send(messages.Response(1, body)))
        response = await dialled.ask(messages.Acknowledged(), TIMEOUT_S)
        self.assertEqual(response, result.Success(messages.Acknowledged()))
        dialled.close()
        await running

    async def test_message_that_only_compresses_below_limit_is_not_sent(self):
        dialled = (await self.dial()).unwrap()
        body = bytes(frames.MAX_FRAME_BYTES + 1)
        self.assertFalse(dialled.send(messages.Response(1, body)))
        dialled.close()
