"""Callers' keys: only digests are kept."""

import hashlib
import secrets

DIGEST_PREFIX = 'sha256:'
KEY_BYTES = 24


def new_key():
    """Return a fresh key in text form."""
    return 'brk_' + secrets.token_urlsafe(KEY_BYTES)


def digest(key):
    """Return the digest of a key as it stands in documents.

    :param key: the key; bytes that are no text may stand in it as
        surrogates, as HTTP headers deliver them.
    """
    data = key.encode(errors='surrogateescape')
    return DIGEST_PREFIX + hashlib.sha256(data).hexdigest()
