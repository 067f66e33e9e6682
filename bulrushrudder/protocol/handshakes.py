"""The handshake with which links begin."""

import hashlib
import hmac
import secrets

from returns import result

from bulrushrudder.protocol import messages

NONCE_BYTES = 16


async def authenticate(link, owner, secret, dialled):
    """Check the protocol version and the cluster secret of the peer.

    :param link: the Link.
    :param owner: this process.
    :param secret: the cluster secret.
    :param dialled: whether this end opened the connection.
    :returns: the Owner at the other end, or a text that says what is wrong.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    link.send(messages.Hello(messages.VERSION, owner, nonce))
    hello = await link.receive()
    if not isinstance(hello, messages.Hello):
        return result.Failure('the peer sent no Hello message')
    if hello.version != messages.VERSION:
        return result.Failure(
            f'the peer speaks protocol version {hello.version},'
            f' expected {messages.VERSION}'
        )
    link.send(messages.Proof(_signature(secret, hello.nonce, dialled)))
    proof = await link.receive()
    expected = _signature(secret, nonce, not dialled)
    if not isinstance(proof, messages.Proof):
        return result.Failure('the peer sent no Proof message')
    if not hmac.compare_digest(proof.signature, expected):
        return result.Failure(
            'the signature of the peer does not match the cluster secret'
        )
    return result.Success(hello.owner)


def _signature(secret, nonce, dialled):
    role = b'dialled' if dialled else b'accepted'
    return hmac.digest(secret, role + nonce, hashlib.sha256)
