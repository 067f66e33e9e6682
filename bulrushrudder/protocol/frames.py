"""Frames on a link: a length prefix and a message, compressed if large.

Documents and state snapshots consist of repetitive texts and ids;
compression reduces them to about a tenth of their size.
"""

import asyncio
import struct
import zlib

MAX_FRAME_BYTES = 16 * 1024 * 1024
# Nearly all messages are smaller; compressing them would save less than
# the packet that carries them costs.
MIN_COMPRESSED_BYTES = 2048
# The fastest level; higher ones take up to 5 times as long and save 10 %.
COMPRESSION_LEVEL = 1
PIECE_BYTES = 64 * 1024

_LENGTH = struct.Struct('>I')
_COMPRESSED_FLAG = 1 << 31


class InvalidFrameError(Exception):
    """The peer sent an oversized or corrupt frame."""


def pack(body):
    """Return the frame of an encoded message."""
    if len(body) >= MIN_COMPRESSED_BYTES:
        deflated = zlib.compress(body, COMPRESSION_LEVEL)
        if len(deflated) < len(body):
            return _LENGTH.pack(len(deflated) | _COMPRESSED_FLAG) + deflated
    return _LENGTH.pack(len(body)) + body


async def read(reader, max_bytes=MAX_FRAME_BYTES, on_piece=None):
    """Read the next message.

    :param reader: an asyncio StreamReader.
    :param max_bytes: limit in bytes, compressed and decompressed.
    :param on_piece: called whenever a piece of the message has arrived that
        is not its last one; None for no calls.
    :returns: the bytes of the message.
    :raises InvalidFrameError: if the frame exceeds the limit or cannot
        be decompressed.
    :raises EOFError: if the stream ends before the message does.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    compressed = bool(length & _COMPRESSED_FLAG)
    length &= ~_COMPRESSED_FLAG
    if length > max_bytes:
        raise InvalidFrameError(
            f'frame of {length} bytes exceeds the limit of {max_bytes} bytes'
        )
    data = await _read_pieces(reader, length, on_piece)
    return _decompress(data, max_bytes) if compressed else data


async def _read_pieces(reader, length, on_piece):
    if length <= PIECE_BYTES:
        return await reader.readexactly(length)
    data = bytearray()
    while len(data) < length:
        piece = await reader.read(min(PIECE_BYTES, length - len(data)))
        if not piece:
            raise asyncio.IncompleteReadError(bytes(data), length)
        data += piece
        if on_piece is not None and len(data) < length:
            on_piece()
    return bytes(data)


def _decompress(data, max_bytes):
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise InvalidFrameError(f'cannot decompress frame: {error}') from error
    if not decompressor.eof:
        raise InvalidFrameError(
            'compressed frame is truncated or decompresses to more than'
            f' {max_bytes} bytes'
        )
    return body
