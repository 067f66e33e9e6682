"""Frames with checksums, one for each sync.

A frame is a header (magic, sequence, length, checksum of the payload,
checksum of the header) and its payload. As each frame is synced before
the next one begins, only the last one may be torn by a crash.
"""

import dataclasses
import struct
import zlib

MAGIC = b'\xb5BRL'
_FIELDS = struct.Struct('>4sQII')
_CHECKSUM = struct.Struct('>I')
HEADER_BYTES = _FIELDS.size + _CHECKSUM.size


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """What the bytes of a file hold.

    :param payloads: of all whole frames, in order.
    :param end: where the last whole frame ends, in bytes.
    :param torn: whether something that is no frame follows.
    :param damaged: whether a whole frame follows after that.
    """

    payloads: tuple[bytes, ...]
    end: int
    torn: bool
    damaged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Header:
    sequence: int
    length: int
    checksum: int


def pack(sequence, payload):
    """Return a frame.

    :param sequence: counts the frames of a file from 0.
    """
    fields = _FIELDS.pack(MAGIC, sequence, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def scan(data):
    """Read all frames of a file's bytes."""
    payloads = []
    position = 0
    while (payload := _payload_at(data, position, len(payloads))) is not None:
        payloads.append(payload)
        position += HEADER_BYTES + len(payload)
    rest = data[position:]
    return Scan(
        payloads=tuple(payloads),
        end=position,
        torn=any(rest),
        damaged=_frame_follows(data, position, len(payloads)),
    )


def _payload_at(data, position, sequence):
    header = _header_at(data, position)
    if header is None or header.sequence != sequence:
        return None
    start = position + HEADER_BYTES
    payload = data[start : start + header.length]
    if len(payload) < header.length:
        return None
    return payload if zlib.crc32(payload) == header.checksum else None


def _header_at(data, position):
    fields = data[position : position + _FIELDS.size]
    checksum = data[position + _FIELDS.size : position + HEADER_BYTES]
    if len(checksum) < _CHECKSUM.size:
        return None
    if _CHECKSUM.unpack(checksum)[0] != zlib.crc32(fields):
        return None
    magic, sequence, length, payload_checksum = _FIELDS.unpack(fields)
    if magic != MAGIC:
        return None
    return _Header(sequence, length, payload_checksum)


def _frame_follows(data, position, sequence):
    """Return whether a frame that came later stands behind a gap."""
    found = data.find(MAGIC, position + 1)
    while found >= 0:
        header = _header_at(data, found)
        if header is not None and header.sequence > sequence:
            return True
        found = data.find(MAGIC, found + 1)
    return False
