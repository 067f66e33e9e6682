"""API keys of callers, which are stored only as digests."""

import secrets

from bulrushrudder.core import digests

KEY_BYTES = 24


def new_key():
    """Return a new random key as text."""
    return 'brk_' + secrets.token_urlsafe(KEY_BYTES)


def digest(key):
    """Return the digest of a key as written in documents.

    :param key: the key; bytes that are not UTF-8 are surrogate escapes,
        as in HTTP headers.
    """
    return digests.of(key.encode(errors='surrogateescape'))
