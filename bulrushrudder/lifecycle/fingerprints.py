"""Fingerprints that every resend of a request shares."""

import hashlib

FINGERPRINT_BYTES = 16


def of(model, prompt):
    """Return the fingerprint of a request to a model.

    It leaves out what a resend may change: the request's id, whether
    the answer is streamed, and the bound on output.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(model.encode())
    digest.update(b'\x00')
    digest.update(prompt.encode())
    return digest.hexdigest()
