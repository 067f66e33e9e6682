"""Frames with checksums, each synced as a unit.

A frame consists of a header (magic, sequence number, length, checksum of
the payload, checksum of the header) and the payload. Each frame is
synced before the next one is written, so a crash can only tear the last
one.
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
    """The frames found in the bytes of a file.

    :param payloads: the payloads of all leading whole frames, in order.
    :param end: the position after the last of these frames, in bytes.
    :param torn: whether other non-zero bytes follow.
    :param damaged: whether the header of a later frame follows. Frames
        are synced in order, so the bytes at `end` had then been synced.
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
    """Return the bytes of a frame.

    :param sequence: the number of the frame in its file, from 0.
    """
    fields = _FIELDS.pack(MAGIC, sequence, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def scan(data):
    """Return the Scan of the bytes of a file."""
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
    """Return whether the header of a later frame follows a position."""
    found = data.find(MAGIC, position + 1)
    while found >= 0:
        header = _header_at(data, found)
        if header is not None and header.sequence > sequence:
            return True
        found = data.find(MAGIC, found + 1)
    return False
