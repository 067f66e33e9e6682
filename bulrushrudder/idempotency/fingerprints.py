"""Tells whether two calls under one id are the same call."""

import hashlib


def of(method, path, body):
    """Return the fingerprint of a call.

    :param path: the path with its query.
    :param body: bytes of the body.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
