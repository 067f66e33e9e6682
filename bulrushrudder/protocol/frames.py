"""Frames on a link: a length, then a message, compressed where large.

Documents and states are texts and ids that repeat; a tenth of their
bytes travels.
"""

import struct
import zlib

MAX_FRAME_BYTES = 16 * 1024 * 1024
# Messages below this, nearly all, would gain less than the packet that
# carries them.
MIN_COMPRESSED_BYTES = 2048
# The fastest; higher ones take up to five times as long for a tenth less.
COMPRESSION_LEVEL = 1

_LENGTH = struct.Struct('>I')
_COMPRESSED_FLAG = 1 << 31


class InvalidFrameError(Exception):
    """The peer sent bytes that are no frame."""


def pack(body):
    """Return the frame of a message's bytes."""
    if len(body) >= MIN_COMPRESSED_BYTES:
        deflated = zlib.compress(body, COMPRESSION_LEVEL)
        if len(deflated) < len(body):
            return _LENGTH.pack(len(deflated) | _COMPRESSED_FLAG) + deflated
    return _LENGTH.pack(len(body)) + body


async def read(reader, max_bytes=MAX_FRAME_BYTES):
    """Return the bytes of the next message.

    :param reader: an asyncio StreamReader.
    :param most: bytes that they may be, also once unpacked.
    :raises InvalidFrameError: where they are more, or damaged.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    compressed = bool(length & _COMPRESSED_FLAG)
    length &= ~_COMPRESSED_FLAG
    if length > max_bytes:
        raise InvalidFrameError(f'a frame of {length} bytes')
    data = await reader.readexactly(length)
    return _decompress(data, max_bytes) if compressed else data


def _decompress(data, max_bytes):
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise InvalidFrameError(f'a damaged frame: {error}') from error
    if not decompressor.eof:
        raise InvalidFrameError(f'a frame of more than {max_bytes} bytes')
    return body
