import asyncio
import unittest
import zlib

from bulrushrudder.protocol import frames

REPETITIVE_BODY = b'{"host": "api.example", "prefix": "/a/"}' * 1000


async def read(data, max_bytes=frames.MAX_FRAME_BYTES):
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return await frames.read(reader, max_bytes)


class FramesTests(unittest.IsolatedAsyncioTestCase):
    async def test_reading_reverses_packing(self):
        for body in (b'', b'a', REPETITIVE_BODY, bytes(range(256)) * 8):
            with self.subTest(len(body)):
                self.assertEqual(await read(frames.pack(body)), body)

    def test_compresses_repetitive_message_to_less_than_a_tenth(self):
        self.assertLess(
            len(frames.pack(REPETITIVE_BODY)), len(REPETITIVE_BODY) / 10
        )

    def test_does_not_compress_small_message(self):
        body = b'a' * (frames.MIN_COMPRESSED_BYTES - 1)
        self.assertIn(body, frames.pack(body))

    async def test_rejects_frame_that_decompresses_beyond_limit(self):
        with self.assertRaises(frames.InvalidFrameError):
            await read(frames.pack(REPETITIVE_BODY), len(REPETITIVE_BODY) - 1)

    async def test_rejects_corrupt_compressed_frames(self):
        frame = frames.pack(REPETITIVE_BODY)
        corrupt = frame[:40] + b'\x00\xff\x00' + frame[43:]
        not_compressed = (1 << 31 | 3).to_bytes(4, 'big') + b'abc'
        cut = zlib.compress(REPETITIVE_BODY)[:-9]
        cut_frame = (1 << 31 | len(cut)).to_bytes(4, 'big') + cut
        for data in (corrupt, not_compressed, cut_frame):
            with self.assertRaises(frames.InvalidFrameError):
                await read(data)
