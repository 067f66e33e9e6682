"""Answers that go on until the router closes the connection."""

import asyncio
import contextlib
import dataclasses
import unittest

import aiohttp

from bulrushrudder.tests.builders import platform
from bulrushrudder.tests.builders import platform_fleet
from bulrushrudder.tests.builders import runners
from bulrushrudder.tests.builders import scripted_engines

PREFILL_REPLY = b'{"kv_handle":"3fa09c41b7d5","token_count":1460,"version":1}'
MAX_STREAM_BYTES = 1024 * 1024
TIMEOUT_S = 8.0
WRITE_BYTES = 16 * 1024
# Callers may get their answer up to 0.5 s late, whatever arrives.
MAX_STALL_S = 0.25
PLAIN_TIMEOUT_S = 4.0


def configuration():
    content = platform.configuration()
    content['routes'][0]['resumable'] = False
    content['routes'].append(
        {
            **platform.ROUTE,
            'name': 'r-book',
            'path_prefix': '/book/',
            'route_type': 'non_idempotent',
            'timeout_ms': PLAIN_TIMEOUT_S * 1000,
            'service': 'portal',
            'resumable': False,
        }
    )
    return content


def endless_stream(piece):
    """Return a reply that streams a piece again and again."""

    async def send(writer):
        while True:
            writer.write(piece * max(1, WRITE_BYTES // len(piece)))
            await writer.drain()
            # The router runs on the same loop.
            await asyncio.sleep(0)

    def reply(call):
        if call.headers.get('Stage') == 'prefill':
            return [runners.answer(PREFILL_REPLY)]
        return [runners.stream_head(), send]

    return reply


@dataclasses.dataclass
class StallMeter:
    """The longest time in seconds for which the loop ran nothing else."""

    longest_s: float = 0.0


@contextlib.asynccontextmanager
async def stall_meter():
    """Measure how long other tasks wait for the loop."""
    meter = StallMeter()

    async def tick():
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(0.01)
            waited_s = loop.time() - before_s
            meter.longest_s = max(meter.longest_s, waited_s)

    ticking = asyncio.create_task(tick())
    try:
        yield meter
    finally:
        ticking.cancel()


class EndlessAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(platform_fleet.running())
        await self.fleet.put_configuration(configuration())
        await self.fleet.wait_until(
            lambda: self.fleet.entry.view.lookups.document.version == 7
        )

    async def add_engines(self, piece):
        reply = endless_stream(piece)
        await self.fleet.add_runner(reply, 'i-a', stage='prefill')
        return await self.fleet.add_runner(reply, 'i-b')

    async def receive_stream(self):
        """Return the bytes received until the stream is cut."""
        size = 0
        async with asyncio.timeout(TIMEOUT_S):
            try:
                async with self.fleet.call('/drafts/1') as response:
                    async for data in response.content.iter_any():
                        size += len(data)
                        if size > MAX_STREAM_BYTES:
                            break
            except aiohttp.ClientPayloadError:
                return size
        return size

    # Guards against a process that keeps an endless stream until it is
    # killed for its memory, with all requests in flight.

    async def test_stream_of_more_than_the_request_allows_is_cut(self):
        for piece in (b'x' * 32768 + b'\n\n', runners.event(1), b'\n\n'):
            with self.subTest(piece[:8]):
                await self.add_engines(scripted_engines.chunk(piece))
                received = await self.receive_stream()
                self.assertLess(received, MAX_STREAM_BYTES)
                await self.fleet.wait_until(
                    lambda: not self.fleet.entry.services.running
                )

    # Guards against a bound that cuts long but sound answers.

    async def test_long_sound_stream_and_body_are_whole(self):
        events = [
            f'id: {n}\ndata: {"x" * 2000}\n\n'.encode() for n in range(1, 171)
        ]
        chunks = [scripted_engines.chunk(event) for event in events]

        def reply(call):
            if call.headers.get('Stage') == 'prefill':
                return [runners.answer(PREFILL_REPLY)]
            end = scripted_engines.chunk(b'')
            return [runners.stream_head(), *chunks, end]

        await self.fleet.add_runner(reply, 'i-a', stage='prefill')
        await self.fleet.add_runner(reply, 'i-b')
        usage = {'Token-Usage': '1460,2040'}
        async with self.fleet.call('/drafts/1', headers=usage) as response:
            self.assertEqual(await response.read(), b''.join(events))
        body = b'y' * (8 * 1024 * 1024)
        await self.fleet.add_runner(
            lambda call: [runners.answer(body)],
            'i-p',
            service='portal',
            stage=None,
            slots=6,
        )
        async with self.fleet.call('/book/1') as response:
            self.assertEqual(
                (response.status, await response.read()), (200, body)
            )

    # Guards against a process that answers nobody while it searches an
    # endless event, or handles endless small ones.

    async def test_endless_small_pieces_do_not_block_the_loop(self):
        for piece in (b'12345678', b'\n\n', b'x'):
            with self.subTest(piece):
                await self.add_engines(scripted_engines.chunk(piece))
                async with stall_meter() as meter:
                    received = await self.receive_stream()
                    await self.fleet.wait_until(
                        lambda: not self.fleet.entry.services.running
                    )
                self.assertLess(received, MAX_STREAM_BYTES)
                self.assertLess(meter.longest_s, MAX_STALL_S)

    async def test_endless_body_in_small_chunks_does_not_block_the_loop(self):
        async def send(writer):
            while True:
                writer.write(scripted_engines.chunk(b'12345678') * 1000)
                await writer.drain()
                await asyncio.sleep(0)

        await self.fleet.add_runner(
            lambda call: [runners.stream_head(), send],
            'i-p',
            service='portal',
            stage=None,
            slots=6,
        )
        async with stall_meter() as meter:
            async with self.fleet.call('/book/1') as response:
                self.assertIn(response.status, (502, 504))
        self.assertLess(meter.longest_s, MAX_STALL_S)
