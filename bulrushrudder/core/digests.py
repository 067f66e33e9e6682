"""Digests of bytes as they stand in documents and in the log."""

import hashlib

PREFIX = 'sha256:'


def of(data):
    """Return the digest of some bytes."""
    return PREFIX + hashlib.sha256(data).hexdigest()
