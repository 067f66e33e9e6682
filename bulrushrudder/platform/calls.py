"""Calls to the platform's runners and the interpretation of answers."""

import asyncio
import dataclasses

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import body_parts
from bulrushrudder.engines import connection_pool
from bulrushrudder.engines import connections
from bulrushrudder.engines import kept_bytes
from bulrushrudder.engines import responses
from bulrushrudder.lifecycle import paths
from bulrushrudder.platform import headers

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# The body of a refusal is short, if there is any.
DRAIN_TIMEOUT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedCall:
    """A client's call as it is forwarded to runners.

    :param target: path and query, as the client sent them.
    :param headers: pairs that are sent to every runner.
    :param attempt: the client's attempt id, which runners echo.
    :param deadline_s: monotonic seconds at which the client gives up.
    :param timeout_s: seconds between the arrival of the call and that
        deadline.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    attempt: str
    deadline_s: float = 0.0
    timeout_s: float = 0.0

    def encode(self, server, now_s, *extra, room=None):
        """Return the connections Call to one runner.

        :param server: the BackendServer.
        :param now_s: monotonic seconds.
        :param extra: pairs for this runner only; they replace headers of
            the same name.
        :param room: as for the Call.
        """
        remaining_s = max(0.0, self.deadline_s - now_s)
        replaced = {name.lower() for name, _ in extra}
        pairs = [
            *((n, v) for n, v in self.headers if n.lower() not in replaced),
            (headers.DEADLINE, headers.format_milliseconds(remaining_s)),
            (headers.EXPECTED_INSTANCE, server.run_id),
            *extra,
        ]
        data = headers.encode_request(
            self.method, self.target, pairs, self.body
        )
        return responses.Call(
            data,
            self.attempt,
            self.method == 'HEAD',
            starts_work=True,
            room=room,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without an answer that can be returned to the client.

    :param sent: whether the runner may have run it.
    :param of_server: whether no lost path can explain it.
    :param held_back: whether it was not sent because the runner is cold.
    """

    reason: outcomes.Reason
    detail: str
    sent: bool
    of_server: bool = False
    held_back: bool = False


def failure_from(problem):
    """Return the CallFailure for a Problem of a connection."""
    reason = outcomes.Reason.BACKEND_FAILED
    if problem.kind is responses.ProblemKind.UNREACHABLE:
        reason = outcomes.Reason.BACKEND_UNREACHABLE
    held_back = problem.kind is responses.ProblemKind.HELD_BACK
    if held_back:
        reason = outcomes.Reason.BACKEND_FULL
    return CallFailure(
        reason, problem.detail, problem.sent, problem.of_server, held_back
    )


def is_silence_of_server(opened):
    """Return whether no lost path explains that a call had no answer.

    :param opened: what the pool yielded for the call; None if its time
        ended before.
    """
    match opened:
        case result.Success(connection):
            return paths.is_of_server(connection.relay is not None)
    return False


def pool(
    on_head=connections.ignore_head,
    network=None,
    permit=None,
    max_kept_bytes=kept_bytes.MAX_KEPT_BYTES,
):
    """Return a ConnectionPool to runners.

    :param on_head: as for ConnectionPool.
    :param network: as for ConnectionPool.
    :param permit: as for ConnectionPool.
    :param max_kept_bytes: as for ConnectionPool.
    """
    return connection_pool.ConnectionPool(
        headers.ATTEMPT.lower(), on_head, network, permit, max_kept_bytes
    )


def check(head):
    """Check that the call of an answer ran.

    Only an answer to this call, which the connection has matched by its
    attempt id, says that the call did not run. Status 421 means that the
    runner at this address is not the expected instance.

    :returns: a CallFailure, or None if the head is valid.
    """
    if head.header(headers.NOT_RUN) is not None or head.status == 421:
        reason = outcomes.Reason.BACKEND_FULL
        if head.status == 421:
            reason = outcomes.Reason.BACKEND_UNREACHABLE
        return CallFailure(
            reason,
            f'runner did not run the call, status {head.status}',
            sent=False,
            of_server=True,
        )
    if head.header(headers.ATTEMPT.lower()) is None:
        detail = f'answer without attempt id, status {head.status}'
        return CallFailure(
            outcomes.Reason.BACKEND_FAILED, detail, True, of_server=True
        )
    return None


async def read_head(opened):
    """Read and check the head of an answer.

    :param opened: a Connection, or the Problem of opening it.
    :returns: the Head, or a CallFailure.
    """
    match opened:
        case result.Failure(problem):
            return result.Failure(failure_from(problem))
    part = await opened.unwrap().part()
    match part:
        case responses.Problem():
            return result.Failure(failure_from(part))
        case responses.Head():
            failed = check(part)
            if failed is None:
                return result.Success(part)
            if failed.sent:
                # The answer to this call may still follow.
                opened.unwrap().abort()
            else:
                await _drain(opened.unwrap())
            return result.Failure(failed)
    raise AssertionError(
        'expected a Head or a Problem as the first part of an answer'
    )


async def read_body(connection):
    """Read the body of an answer.

    :returns: the bytes, or a CallFailure.
    """
    body = body_parts.BodyParts()
    while True:
        part = await connection.part()
        match part:
            case responses.BodyChunk(data=data):
                body.add(data)
                if body.size > MAX_RESPONSE_BYTES:
                    connection.abort()
                    return _body_too_large(body.size)
                await connection.keep(body.size)
            case responses.End():
                return result.Success(body.join())
            case responses.Problem():
                return result.Failure(failure_from(part))


def _body_too_large(size):
    detail = (
        f'answer of {size} bytes or more, '
        f'at most {MAX_RESPONSE_BYTES} are allowed'
    )
    reason = outcomes.Reason.BACKEND_FAILED
    return result.Failure(CallFailure(reason, detail, True, of_server=True))


async def _drain(connection):
    """Read a refusal to its end so that the connection can be reused."""
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            await read_body(connection)
    except TimeoutError:
        connection.abort()
