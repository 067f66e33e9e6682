"""Forwards calls to the platform's plain services."""

import asyncio

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import connection_pool
from bulrushrudder.engines import connections
from bulrushrudder.engines import services
from bulrushrudder.platform import calls

# Runners may close idle connections early. A call that is not repeatable
# can't be sent again then, so it only uses a connection that was in use
# within this time.
MAX_IDLE_NOT_REPEATABLE_S = 0.5
# Statuses that tell callers that the call has not run.
PROMISES = frozenset({408, 421, 429, 503})


class ServiceClient:
    """Forwards calls to plain services.

    :param pool: the ConnectionPool.
    """

    def __init__(self, pool):
        self._pool = pool

    async def call(self, server, call):
        """Forward one call.

        :param call: a services Call whose content is a ForwardedCall.
        :returns: a Reply, or a Refusal that states whether the call ran.
        """
        forwarded_call = call.content
        idle_s = (
            connections.DEFAULT_IDLE_TIMEOUT_S
            if call.repeatable
            else MAX_IDLE_NOT_REPEATABLE_S
        )
        encoded = forwarded_call.encode(
            server, asyncio.get_running_loop().time(), room=call.room
        )
        opened = None
        try:
            async with asyncio.timeout(call.timeout_s):
                async with self._pool.call(server, encoded, idle_s) as opened:
                    return await self._read_answer(opened, call.repeatable)
        except TimeoutError:
            self._pool.examine(server)
            reason = outcomes.Reason.BACKEND_SILENT
            detail = f'no answer in {call.timeout_s:.3f} s'
            sent = isinstance(opened, result.Success)
            if not sent:
                reason = outcomes.Reason.BACKEND_UNREACHABLE
                detail = f'no connection in {call.timeout_s:.3f} s'
            of_server = calls.is_silence_of_server(opened)
            return _refusal(calls.CallFailure(reason, detail, sent, of_server))

    async def has_crashed(self, server):
        """Return whether a server refuses connections."""
        listening = await self._pool.check(server)
        return listening is connection_pool.Listening.REFUSES

    async def _read_answer(self, opened, repeatable):
        match await calls.read_head(opened):
            case result.Failure(failed):
                return _refusal(failed)
            case result.Success(head) if (
                head.status in PROMISES and not repeatable
            ):
                # Callers read these as "not run and never will be", which
                # the runner has not said.
                opened.unwrap().abort()
                return _refusal(_without_promise(head))
            case result.Success(head):
                pass
        match await calls.read_body(opened.unwrap()):
            case result.Failure(failed):
                return _refusal(failed)
            case result.Success(body):
                relay = opened.unwrap().relay
                vm = relay.vm if relay else ''
                return result.Success(
                    services.Reply(head.status, head.headers, body, vm)
                )
        raise AssertionError(
            'unreachable: body of an answer neither read nor failed'
        )


def _without_promise(head):
    detail = f'status {head.status} does not say that the call has not run'
    return calls.CallFailure(
        outcomes.Reason.BACKEND_FAILED, detail, True, of_server=True
    )


def _refusal(failed):
    execution = outcomes.Execution.NOT_RUN
    if failed.sent:
        execution = outcomes.Execution.UNKNOWN
    return result.Failure(
        outcomes.Refusal(
            failed.reason,
            execution,
            failed.detail,
            of_server=failed.of_server,
        )
    )
