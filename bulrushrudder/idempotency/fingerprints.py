"""Fingerprints that detect different calls under the same id."""

import hashlib


def of(method, path, body):
    """Return the fingerprint of a call.

    :param path: the path including the query.
    :param body: the request body as bytes.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
