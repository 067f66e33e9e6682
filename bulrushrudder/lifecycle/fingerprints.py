"""Fingerprints that every resend of a request shares."""

import hashlib

FINGERPRINT_BYTES = 16


def of(model, prompt):
    """Return the fingerprint of a request to a model.

    It leaves out what a resend may change: the request's id, whether
    the answer is streamed, and the bound on output.
    """
    found = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    found.update(model.encode())
    found.update(b'\x00')
    found.update(prompt.encode())
    return found.hexdigest()
