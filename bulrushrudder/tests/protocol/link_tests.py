import asyncio
import contextlib
import struct
import unittest

import logbook
from returns import result

from bulrushrudder.config import settings
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import frames
from bulrushrudder.protocol import link
from bulrushrudder.protocol import messages
from bulrushrudder.tests.builders import fleet
from bulrushrudder.utils import ports

SECRET = b'a secret of the cluster'
WAIT_S = 5.0
LENGTH = struct.Struct('>I')


def framed(body):
    return LENGTH.pack(len(body)) + body


ACKNOWLEDGED = codec.encode(messages.Acknowledged())
BAD_BYTES = {
    'no message': framed(b'\xff\xff\xff'),
    'empty': framed(b''),
    'unknown number': framed(b'\x91\xcd\x27\x0f'),
    'missing fields': framed(b'\x91\x04'),
    'bytes too many': framed(ACKNOWLEDGED + b'\x00'),
    'oversized': LENGTH.pack(frames.MAX_FRAME_BYTES + 1),
    'bad body': framed(codec.encode(messages.Request(1, b'\xff'))),
}


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.seen = logbook.TestHandler()
        self.enterContext(self.seen.applicationbound())
        (port,) = ports.free_ports(1)
        self.address = settings.Address(ports.LOOPBACK, port)
        server = await link.listen(
            self.address, fleet.owner('server'), SECRET, self._answer
        )
        self.addCleanup(server.close)

    async def _answer(self, link_, message):
        return messages.Acknowledged()

    async def _ignore(self, link_, message):
        return None

    async def dial(self, secret=SECRET):
        return await link.dial(
            self.address, fleet.owner('client'), secret, self._ignore
        )

    async def check_serves(self):
        found = (await self.dial()).unwrap()
        running = asyncio.create_task(found.run())
        answer = await found.ask(messages.Acknowledged(), WAIT_S)
        self.assertEqual(answer, result.Success(messages.Acknowledged()))
        found.close()
        await running

    def events(self):
        return [r.extra['event'].name for r in self.seen.records]

    async def test_bad_bytes_close_the_link_and_harm_nothing(self):
        for name, data in BAD_BYTES.items():
            with self.subTest(name):
                self.seen.records.clear()
                found = (await self.dial()).unwrap()
                found._writer.write(data)
                async with asyncio.timeout(WAIT_S):
                    await found.run()
                self.assertTrue(found.closed.is_set())
                self.assertIn('message invalid', self.events())
                await self.check_serves()

    async def test_truncated_message(self):
        found = (await self.dial()).unwrap()
        found._writer.write(framed(ACKNOWLEDGED)[:-1])
        found._writer.write_eof()
        async with asyncio.timeout(WAIT_S):
            await found.run()
        self.assertIn('link closed', self.events())
        await self.check_serves()

    async def test_bad_bytes_before_the_handshake(self):
        for data in (b'GET / HTTP/1.1\r\n\r\n', framed(ACKNOWLEDGED)):
            self.seen.records.clear()
            reader, writer = await asyncio.open_connection(
                self.address.host, self.address.port
            )
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(WAIT_S):
                    await reader.read()
                    await reader.read()
            writer.close()
            self.assertIn('link refused', self.events())
        details = [r.extra['fields'].get('detail') for r in self.seen.records]
        self.assertIn('the peer sent no Hello message', details)
        await self.check_serves()

    async def test_handshake_takes_no_large_frame(self):
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

    async def test_wrong_secret_and_wrong_version(self):
        refused = await self.dial(b'another secret of the cluster')
        self.assertIsInstance(refused, result.Failure)
        old = messages.VERSION
        self.addCleanup(setattr, messages, 'VERSION', old)
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        hello = messages.Hello(old + 1, fleet.owner('client'), b'n' * 16)
        writer.write(framed(codec.encode(hello)))
        async with asyncio.timeout(WAIT_S):
            with contextlib.suppress(ConnectionError):
                await reader.read(-1)
        writer.close()
        details = [r.extra['fields'].get('detail') for r in self.seen.records]
        self.assertIn(
            f'the peer speaks protocol version {old + 1}, expected {old}',
            details,
        )
