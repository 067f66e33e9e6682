"""Calls to the platform's runners, and what their answers mean."""

import asyncio
import dataclasses

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import connections
from bulrushrudder.platform import headers

MAX_BODY_BYTES = 16 * 1024 * 1024
# A refusal has a short body, if any.
DRAIN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """A client's call as it is passed on.

    :param target: path and query, as the client sent them.
    :param headers: pairs that go on to every runner.
    :param attempt: the client's id of the call, which runners echo.
    :param deadline_s: monotonic seconds at which the client gives up.
    :param wait_s: seconds that it waits in all.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    attempt: str
    deadline_s: float = 0.0
    wait_s: float = 0.0

    def encode(self, server, now_s, *extra):
        """Return the bytes of the call to one runner.

        :param extra: pairs that only this runner gets.
        """
        left_s = max(0.0, self.deadline_s - now_s)
        replaced = {name.lower() for name, _ in extra}
        found = [
            *((n, v) for n, v in self.headers if n.lower() not in replaced),
            (headers.DEADLINE, headers.milliseconds(left_s)),
            (headers.EXPECTED_RUN, server.run_id),
            *extra,
        ]
        return headers.call(self.method, self.target, found, self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call without an answer that may be passed on.

    :param sent: whether it may have run.
    """

    reason: outcomes.Reason
    detail: str
    sent: bool


def failure_of(problem):
    """Return the Failed that a connection's Problem means."""
    reason = outcomes.Reason.BACKEND_FAILED
    if problem.kind is connections.ProblemKind.UNREACHABLE:
        reason = outcomes.Reason.BACKEND_UNREACHABLE
    return Failed(reason, problem.detail, problem.sent)


def check(head, attempt):
    """Return the Failed that an answer's head means, or None.

    :param attempt: the id that the runner must echo.
    """
    if head.header(headers.NOT_RUN) is not None or head.status == 421:
        reason = outcomes.Reason.BACKEND_FULL
        if head.status == 421:
            reason = outcomes.Reason.BACKEND_UNREACHABLE
        return Failed(reason, f'not run, status {head.status}', False)
    echoed = head.header(headers.ATTEMPT.lower())
    if echoed != attempt:
        detail = f'answer to another call, {echoed}'
        return Failed(outcomes.Reason.BACKEND_FAILED, detail, True)
    return None


async def head_of(found, attempt):
    """Read the head of an answer.

    :param found: the Connection, or a Problem.
    :returns: the Head, or a Failed.
    """
    match found:
        case result.Failure(problem):
            return result.Failure(failure_of(problem))
    part = await found.unwrap().part()
    match part:
        case connections.Problem():
            return result.Failure(failure_of(part))
        case connections.Head():
            failed = check(part, attempt)
            if failed is None:
                return result.Success(part)
            if failed.sent:
                # The answer to this call is still to come.
                found.unwrap().abort()
            else:
                await _drain(found.unwrap())
            return result.Failure(failed)
    raise AssertionError('an answer begins with its head')


async def body_of(connection):
    """Read a body.

    :returns: the bytes, or a Failed.
    """
    pieces = []
    size = 0
    while True:
        part = await connection.part()
        match part:
            case connections.Piece(data=data):
                pieces.append(data)
                size += len(data)
                if size > MAX_BODY_BYTES:
                    detail = 'the answer is too long'
                    reason = outcomes.Reason.BACKEND_FAILED
                    return result.Failure(Failed(reason, detail, True))
            case connections.End():
                return result.Success(b''.join(pieces))
            case connections.Problem():
                return result.Failure(failure_of(part))


async def _drain(connection):
    """Read a refusal to its end, so that the connection can be kept."""
    try:
        async with asyncio.timeout(DRAIN_S):
            await body_of(connection)
    except TimeoutError:
        connection.abort()
