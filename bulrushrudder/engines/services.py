"""HTTP client of plain services."""

import dataclasses
import math

import aiohttp
from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import kept_bytes

CONNECT_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
NOT_FORWARDED = HOP_BY_HOP | {'authorization', 'host', 'content-length'}


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call to a plain service.

    :param headers: name and value pairs as the caller sent them.
    :param timeout_s: timeout of one attempt in seconds.
    :param repeatable: whether the call may be retried on another server
        after one may have run it.
    :param attempts: maximum number of servers that may run the call.
    :param deadline_s: monotonic seconds by which the caller must have
        the final answer.
    :param request_id: identifies the call in logs.
    :param fingerprint: the same for every resend of the call; empty if
        crashes under the call are not recorded.
    :param content: encoded call of a callers' interface that encodes
        calls itself; sent instead of the other fields and opaque here.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    repeatable: bool = False
    attempts: int = 1
    deadline_s: float = math.inf
    request_id: str = ''
    fingerprint: str = ''
    content: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Response of a plain service.

    :param relay: the VM through which it came; empty if it was direct.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    relay: str = ''


class BodyTooLargeError(Exception):
    """The body of a response exceeds the limit."""


class ServiceClient:
    """Forwards calls to plain services.

    :param session: an aiohttp client session; the caller closes it.
    """

    def __init__(self, session):
        self._session = session
        self._kept_bytes = kept_bytes.KeptBytes()

    async def call(self, server, call):
        """Forward one call.

        :returns: a Reply, or a Refusal that says whether the call ran.
        """
        host = f'[{server.host}]' if ':' in server.host else server.host
        url = f'http://{host}:{server.port}{call.path}'
        timeout = aiohttp.ClientTimeout(
            total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                call.method,
                url,
                headers=_filter_headers(call.headers, NOT_FORWARDED),
                data=call.body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await self._read_body(response)
        except aiohttp.ClientConnectorError as error:
            return result.Failure(_refusal(error, False))
        except BodyTooLargeError as error:
            return result.Failure(_refusal(error, True))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return result.Failure(_refusal(error, True))
        headers = _filter_headers(
            response.headers.items(), HOP_BY_HOP | {'content-length'}
        )
        return result.Success(Reply(response.status, tuple(headers), body))

    async def _read_body(self, response):
        """Read the body of a response.

        :raises BodyTooLargeError: if it exceeds the limit.
        """
        body = bytearray()
        try:
            async for data in response.content.iter_any():
                body += data
                if len(body) > MAX_RESPONSE_BYTES:
                    raise BodyTooLargeError
                self._kept_bytes.update(response, len(body), response.close)
        finally:
            self._kept_bytes.release(response)
        return bytes(body)


def _filter_headers(headers, excluded):
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in excluded
    ]


def _refusal(error, sent):
    execution = (
        outcomes.Execution.UNKNOWN if sent else outcomes.Execution.NOT_RUN
    )
    reason = outcomes.Reason.BACKEND_FAILED
    return outcomes.Refusal(reason, execution, type(error).__name__)
