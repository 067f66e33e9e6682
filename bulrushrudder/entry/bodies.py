"""Reads request bodies with a limit on size and time."""

import asyncio
import contextlib

from aiohttp import web
from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.entry import admission
from bulrushrudder.entry import calls_in_flight
from bulrushrudder.utils import client_connection

MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_TIMEOUT_S = 20.0

_TOO_SLOW = outcomes.not_run(
    outcomes.Reason.BODY_TOO_SLOW, 'the request body was not received in time'
)
NO_ROOM = outcomes.not_run(
    outcomes.Reason.MEMORY_SHORT,
    'this VM has no memory for the call now',
    0.5,
)
_MALFORMED_BODY = outcomes.not_run(
    outcomes.Reason.MALFORMED_REQUEST,
    'the request body was cut off or is malformed',
)


async def read(
    http_request, timeout_s=BODY_TIMEOUT_S, max_bytes=MAX_BODY_BYTES
):
    """Return the body of a request, or a Refusal.

    :param timeout_s: seconds that the caller may take to send it.
    :param max_bytes: size above which it is refused.
    """
    if (http_request.content_length or 0) > max_bytes:
        return _too_large(max_bytes)
    refusals = []
    try:
        async with asyncio.timeout(timeout_s) as limit:
            with _refusable(http_request.protocol, limit, refusals):
                body = await _read_up_to(http_request, max_bytes)
    except TimeoutError:
        return result.Failure(NO_ROOM if refusals else _TOO_SLOW)
    except (web.RequestPayloadError, ConnectionError):
        return result.Failure(_MALFORMED_BODY)
    if _may_run(http_request.protocol):
        return body
    return result.Failure(NO_ROOM)


def _may_run(protocol):
    """Return whether there is room for a call whose body has been read."""
    if isinstance(protocol, client_connection.ClientConnection):
        return protocol.admit_call()
    return True


async def read_while_accepting(in_flight, http_request, **limits):
    """Read a body unless the process starts to refuse calls meanwhile.

    :param in_flight: the CallsInFlight of the process.
    :param limits: as for read().
    """
    try:
        async with in_flight.upload():
            return await read(http_request, **limits)
    except calls_in_flight.Stopped:
        return result.Failure(admission.SHUTTING_DOWN)


@contextlib.contextmanager
def _refusable(protocol, limit, refusals):
    """Let a connection end the reading of a body when memory is short.

    :param limit: the asyncio timeout that then expires.
    :param refusals: list that gets the refusal.
    """

    def refuse():
        refusals.append(NO_ROOM)
        limit.reschedule(asyncio.get_running_loop().time())

    if not isinstance(protocol, client_connection.ClientConnection):
        yield
        return
    protocol.refuse_upload = refuse
    try:
        yield
    finally:
        protocol.refuse_upload = None


async def _read_up_to(http_request, max_bytes):
    chunks = []
    size = 0
    async for chunk in http_request.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            return _too_large(max_bytes)
        chunks.append(chunk)
    return result.Success(b''.join(chunks))


def _too_large(max_bytes):
    return result.Failure(
        outcomes.not_run(
            outcomes.Reason.BODY_TOO_LARGE,
            f'the request body is larger than {max_bytes} bytes',
        )
    )
