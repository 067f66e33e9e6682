"""Frames on a link: a length, then a message, compressed where large.

Documents and states are texts and ids that repeat; a tenth of their
bytes travels.
"""

import struct
import zlib

MAX_FRAME_BYTES = 16 * 1024 * 1024
# Messages below this, nearly all, would gain less than the packet that
# carries them.
LEAST_COMPRESSED_BYTES = 2048
# The fastest; higher ones take up to five times as long for a tenth less.
LEVEL = 1

_LENGTH = struct.Struct('>I')
_COMPRESSED = 1 << 31


class InvalidFrameError(Exception):
    """The peer sent bytes that are no frame."""


def pack(body):
    """Return the frame of a message's bytes."""
    if len(body) >= LEAST_COMPRESSED_BYTES:
        packed = zlib.compress(body, LEVEL)
        if len(packed) < len(body):
            return _LENGTH.pack(len(packed) | _COMPRESSED) + packed
    return _LENGTH.pack(len(body)) + body


async def read(reader, most=MAX_FRAME_BYTES):
    """Return the bytes of the next message.

    :param reader: an asyncio StreamReader.
    :param most: bytes that they may be, also once unpacked.
    :raises InvalidFrameError: where they are more, or damaged.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    compressed = bool(length & _COMPRESSED)
    length &= ~_COMPRESSED
    if length > most:
        raise InvalidFrameError(f'a frame of {length} bytes')
    data = await reader.readexactly(length)
    return _unpacked(data, most) if compressed else data


def _unpacked(data, most):
    unpacking = zlib.decompressobj()
    try:
        found = unpacking.decompress(data, most)
    except zlib.error as error:
        raise InvalidFrameError(f'a damaged frame: {error}') from error
    if not unpacking.eof:
        raise InvalidFrameError(f'a frame of more than {most} bytes')
    return found
