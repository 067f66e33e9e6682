"""HTTP client of plain services.

aiohttp is not used here: it takes the reset of a connection for the end of
a response without a length, and statuses from 000 to 999 for responses.
"""

import asyncio
import dataclasses
import math

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import body_parts
from bulrushrudder.engines import responses

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
NOT_RETURNED = HOP_BY_HOP | {'content-length'}
NOT_FORWARDED = HOP_BY_HOP | {
    'authorization',
    'content-length',
    'expect',
    'host',
}
METHODS_WITHOUT_BODY = frozenset({'DELETE', 'GET', 'HEAD'})


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
    :param room: the AnswerRoom of its client; None if it has none.
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
    room: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Response of a plain service.

    :param relay: the VM through which it came; empty if it was direct.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    relay: str = ''


class ServiceClient:
    """Forwards calls to plain services, each on a connection of its own.

    :param pool: the ConnectionPool, whose responses carry no ids; the
        caller closes it.
    """

    def __init__(self, pool):
        self._pool = pool

    async def call(self, server, call):
        """Forward one call.

        :returns: a Reply, or a Refusal that says whether the call ran.
        """
        encoded = responses.Call(
            _encode(server, call),
            without_body=call.method == 'HEAD',
            room=call.room,
        )
        opened = None
        try:
            async with asyncio.timeout(call.timeout_s):
                async with self._pool.call(server, encoded, 0.0) as opened:
                    return await _read_reply(opened)
        except TimeoutError:
            sent = isinstance(opened, result.Success)
            return _refusal(f'no answer in {call.timeout_s:.3f} s', sent)


def _encode(server, call):
    """Return a call as bytes."""
    host = f'[{server.host}]' if ':' in server.host else server.host
    lines = [
        f'{call.method} {call.path} HTTP/1.1',
        f'Host: {host}:{server.port}',
        'Connection: close',
    ]
    forwarded = _filter_headers(call.headers, NOT_FORWARDED)
    lines += [f'{name}: {value}' for name, value in forwarded]
    if call.body or call.method not in METHODS_WITHOUT_BODY:
        lines.append(f'Content-Length: {len(call.body)}')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('utf-8', 'surrogateescape') + call.body


async def _read_reply(opened):
    """Read a response to its end.

    :param opened: a Connection, or the Problem of opening it.
    :returns: a Reply, or a Refusal.
    """
    match opened:
        case result.Failure(problem):
            return _refusal(problem.detail, problem.sent)
    connection = opened.unwrap()
    head = None
    body = body_parts.BodyParts()
    while True:
        part = await connection.part()
        match part:
            case responses.Head():
                head = part
            case responses.BodyChunk(data=data):
                body.add(data)
                if body.size > MAX_RESPONSE_BYTES:
                    return _refusal('the answer is too large', True)
                await connection.keep(body.size)
            case responses.End():
                # Servers may ignore that the call asks for a close.
                connection.retire()
                headers = _filter_headers(head.headers, NOT_RETURNED)
                return result.Success(
                    Reply(head.status, tuple(headers), body.join())
                )
            case responses.Problem(detail=detail, sent=sent):
                return _refusal(detail, sent)


def _filter_headers(headers, excluded):
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in excluded
    ]


def _refusal(detail, sent):
    execution = (
        outcomes.Execution.UNKNOWN if sent else outcomes.Execution.NOT_RUN
    )
    reason = outcomes.Reason.BACKEND_FAILED
    return result.Failure(outcomes.Refusal(reason, execution, detail))
