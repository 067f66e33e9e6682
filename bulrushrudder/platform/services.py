"""Passes calls to the platform's plain services."""

import asyncio

from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import connections
from bulrushrudder.engines import services
from bulrushrudder.platform import calls

# A connection that was used this lately is taken for open: runners may
# drop idle ones early, and such a call could not be sent again.
SURE_S = 0.5


class ServiceClient:
    """Passes calls to plain services.

    :param kept: the ConnectionPool.
    """

    def __init__(self, kept):
        self._kept = kept

    async def call(self, server, call):
        """Pass one call.

        :param call: a services Call whose content is a Passed.
        :returns: a Reply, or a Refusal that says whether it ran.
        """
        passed = call.content
        idle_s = (
            connections.DEFAULT_IDLE_TIMEOUT_S if call.repeatable else SURE_S
        )
        data = passed.encode(server, asyncio.get_running_loop().time())
        without_body = passed.method == 'HEAD'
        try:
            async with asyncio.timeout(call.timeout_s):
                async with self._kept.call(
                    server, data, without_body, idle_s
                ) as found:
                    return await self._answer(found, passed.attempt)
        except TimeoutError:
            reason = outcomes.Reason.BACKEND_SILENT
            detail = f'no answer in {call.timeout_s:.3f} s'
            return _refusal(calls.Failed(reason, detail, True))

    async def _answer(self, found, attempt):
        match await calls.head_of(found, attempt):
            case result.Failure(failed):
                return _refusal(failed)
            case result.Success(head):
                pass
        match await calls.body_of(found.unwrap()):
            case result.Failure(failed):
                return _refusal(failed)
            case result.Success(body):
                return result.Success(
                    services.Reply(head.status, head.headers, body)
                )
        raise AssertionError('unreachable')


def _refusal(failed):
    execution = outcomes.Execution.NOT_RUN
    if failed.sent:
        execution = outcomes.Execution.UNKNOWN
    return result.Failure(
        outcomes.Refusal(failed.reason, execution, failed.detail)
    )
