"""Callers' keys: only digests are kept."""

import hashlib
import secrets

DIGEST_PREFIX = 'sha256:'
KEY_BYTES = 24


def new_key():
    """Return a fresh key in text form."""
    return 'brk_' + secrets.token_urlsafe(KEY_BYTES)


def digest(key):
    """Return the digest of a key as it stands in documents."""
    return DIGEST_PREFIX + hashlib.sha256(key.encode()).hexdigest()
