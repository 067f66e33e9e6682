"""Callers' keys: only digests are kept."""

import secrets

from bulrushrudder.core import digests

KEY_BYTES = 24


def new_key():
    """Return a fresh key in text form."""
    return 'brk_' + secrets.token_urlsafe(KEY_BYTES)


def digest(key):
    """Return the digest of a key as it stands in documents.

    :param key: the key; bytes that are no text may stand in it as
        surrogates, as HTTP headers deliver them.
    """
    return digests.of(key.encode(errors='surrogateescape'))
