"""Opens tunnels to backend servers and serves those of other processes."""

import asyncio

from returns import result

from bulrushrudder.protocol import errors
from bulrushrudder.protocol import link
from bulrushrudder.protocol import tunnel_ends
from bulrushrudder.protocol import tunnel_messages
from bulrushrudder.utils import sockets


class _Writer:
    """The part of a StreamWriter that a Link uses.

    A StreamWriter closes its transport when it is collected; here the
    transport outlives the link.
    """

    def __init__(self, transport):
        self.transport = transport
        self.write = transport.write
        self.write_eof = transport.write_eof
        self.get_extra_info = transport.get_extra_info


class _Dialling(asyncio.StreamReaderProtocol):
    """Reads the handshake; a transport whose peer has closed it closes."""

    def eof_received(self):
        """Close the transport."""
        super().eof_received()
        return False


async def dial(address, owner, secret, request, connection):
    """Open a tunnel. The caller bounds the time.

    :param address: a config Address of the relay.
    :param owner: this process.
    :param secret: the cluster secret.
    :param request: the OpenTunnel.
    :param connection: the asyncio BufferedProtocol of the connection to the
        server, which is connected if the tunnel opens.
    :returns: a Success with the connection, or a Failure with a
        TunnelRefused or a LinkError.
    """
    reader = asyncio.StreamReader()
    try:
        transport, _ = await sockets.connect(
            lambda: _Dialling(reader), address.host, address.port
        )
    except OSError as error:
        return result.Failure(_unreachable(error))
    opened = result.Failure(None)
    try:
        dialled = link.Link(reader, _Writer(transport), owner, _ignore)
        opened = await _open(dialled, secret, request)
    finally:
        if isinstance(opened, result.Failure):
            transport.abort()
    if isinstance(opened, result.Failure):
        return opened
    if transport.is_closing():
        return result.Failure(_unreachable('the relay closed the tunnel'))
    early = await take_rest(reader)
    tunnel_ends.DialledEnd(connection).take_over(transport, early)
    return result.Success(connection)


async def _open(dialled, secret, request):
    """Shake hands and ask for the tunnel."""
    handshake = await dialled.handshake(secret, True)
    if isinstance(handshake, result.Failure):
        return handshake
    dialled.send(request)
    try:
        answer = await dialled.receive()
    except (OSError, EOFError, link.InvalidMessageError) as error:
        return result.Failure(_unreachable(error))
    match answer:
        case tunnel_messages.TunnelOpened():
            return result.Success(dialled)
        case tunnel_messages.TunnelRefused():
            return result.Failure(answer)
    return result.Failure(_unreachable(f'unexpected {answer!r}'))


async def take_rest(reader):
    """Return the bytes that a StreamReader has read, and end it."""
    reader.feed_eof()
    return await reader.read()


async def _ignore(link_, message):
    """Ignore messages; a link of a tunnel carries one answer only."""


def _unreachable(error):
    return errors.LinkError(errors.LinkProblem.UNREACHABLE, repr(error), False)
