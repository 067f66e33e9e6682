import asyncio
import unittest
import zlib

from bulrushrudder.protocol import frames

LARGE = b'{"host": "api.example", "prefix": "/a/"}' * 1000


async def read(data, max_bytes=frames.MAX_FRAME_BYTES):
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return await frames.read(reader, max_bytes)


class FramesTests(unittest.IsolatedAsyncioTestCase):
    async def test_round_trip(self):
        for body in (b'', b'a', LARGE, bytes(range(256)) * 8):
            with self.subTest(len(body)):
                self.assertEqual(await read(frames.pack(body)), body)

    def test_large_messages_travel_in_a_tenth_of_their_bytes(self):
        self.assertLess(len(frames.pack(LARGE)), len(LARGE) / 10)

    def test_small_messages_travel_as_they_are(self):
        body = b'a' * (frames.MIN_COMPRESSED_BYTES - 1)
        self.assertIn(body, frames.pack(body))

    async def test_the_bound_holds_for_what_was_compressed(self):
        with self.assertRaises(frames.InvalidFrameError):
            await read(frames.pack(LARGE), len(LARGE) - 1)

    async def test_damaged_frames_are_refused(self):
        packed = frames.pack(LARGE)
        damaged = packed[:40] + b'\x00\xff\x00' + packed[43:]
        flagged = (1 << 31 | 3).to_bytes(4, 'big') + b'abc'
        cut = zlib.compress(LARGE)[:-9]
        short = (1 << 31 | len(cut)).to_bytes(4, 'big') + cut
        for data in (damaged, flagged, short):
            with self.assertRaises(frames.InvalidFrameError):
                await read(data)
