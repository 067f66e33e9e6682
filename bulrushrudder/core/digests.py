"""Digests as written in documents and in the log, and of long ids."""

import hashlib

PREFIX = 'sha256:'
# Callers may choose ids as long as the limit on headers allows.
MAX_ID_LENGTH = 96


def of(data):
    """Return the SHA-256 digest of bytes, with a prefix."""
    return PREFIX + hashlib.sha256(data).hexdigest()


def shorten(caller_id):
    """Return the form in which an id that a caller chose is remembered.

    :param caller_id: text of any length.
    :returns: the id, or its digest if it has more than MAX_ID_LENGTH
        characters; unchanged if it has been shortened already.
    """
    if len(caller_id) <= MAX_ID_LENGTH:
        return caller_id
    return of(caller_id.encode('utf-8', 'surrogateescape'))
