"""Checks the bearer tokens of operators and backend servers."""

import hmac

_ENCODING_ERRORS = 'surrogateescape'


def bearer_token(request):
    """Return the bearer token of an HTTP request, or None."""
    presented = request.headers.get('Authorization', '')
    scheme, _, token = presented.partition(' ')
    if scheme.lower() != 'bearer' or not token.strip():
        return None
    return token.strip()


def presents_secret(request, secret):
    """Return whether a request presents a secret as its bearer token.

    The comparison takes constant time.

    :param secret: the expected token as bytes.
    """
    token = bearer_token(request) or ''
    presented = token.encode(errors=_ENCODING_ERRORS)
    return hmac.compare_digest(presented, secret)
