"""Digests as written in documents and in the log."""

import hashlib

PREFIX = 'sha256:'


def of(data):
    """Return the SHA-256 digest of bytes, with a prefix."""
    return PREFIX + hashlib.sha256(data).hexdigest()
