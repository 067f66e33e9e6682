"""Reads request bodies with a limit on size and time."""

import asyncio

from aiohttp import web
from returns import result

from bulrushrudder.core import outcomes

MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_TIMEOUT_S = 20.0

_TOO_LARGE = outcomes.not_run(
    outcomes.Reason.BODY_TOO_LARGE,
    f'the request body is larger than {MAX_BODY_BYTES} bytes',
)
_TOO_SLOW = outcomes.not_run(
    outcomes.Reason.BODY_TOO_SLOW, 'the request body was not received in time'
)
_MALFORMED_BODY = outcomes.not_run(
    outcomes.Reason.MALFORMED_REQUEST,
    'the request body was cut off or is malformed',
)


async def read(http_request, timeout_s=BODY_TIMEOUT_S):
    """Return the body of a request, or a Refusal.

    :param timeout_s: seconds that the caller may take to send it.
    """
    if (http_request.content_length or 0) > MAX_BODY_BYTES:
        return result.Failure(_TOO_LARGE)
    try:
        async with asyncio.timeout(timeout_s):
            return result.Success(await http_request.read())
    except web.HTTPRequestEntityTooLarge:
        return result.Failure(_TOO_LARGE)
    except TimeoutError:
        return result.Failure(_TOO_SLOW)
    except (web.RequestPayloadError, ConnectionError):
        return result.Failure(_MALFORMED_BODY)
