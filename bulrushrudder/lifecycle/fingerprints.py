"""Fingerprints that identify a request across resends by its caller."""

import hashlib

FINGERPRINT_BYTES = 16


def of(model, prompt):
    """Return the fingerprint of a request to a model.

    It leaves out what may differ in a resend: the request id, whether
    the answer is streamed, and the output limit.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(model.encode())
    digest.update(b'\x00')
    digest.update(prompt.encode())
    return digest.hexdigest()
