"""Prefill and decode on the platform's runners.

A prefill's result is a handle, which the platform calls ``kv_handle``;
a decode names it with the runner that holds it.
"""

import asyncio
import contextlib

import pydantic
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.engines import connections
from bulrushrudder.lifecycle import events
from bulrushrudder.platform import calls
from bulrushrudder.platform import event_stream
from bulrushrudder.platform import headers

# Prompts are read at some 30 tokens a ms, behind a few others or on a
# server that is some times slower; reading one again is priced.
PREFILL_BASE_S = 0.7
PREFILL_TOKENS_PER_S = 10_000.0
# A transfer waits two seconds at most, then the first token follows.
FIRST_EVENT_S = 4.0
# Clients give a stream up after eight pauses of 300 ms.
BETWEEN_EVENTS_S = 2.4
FREE_S = 1.0
_HANDLE_PATH = '/bulrushrudder/kv-handle/'


class PrefillModel(pydantic.BaseModel):
    """A runner's answer to a prefill.

    ``token_count`` is the prompt's.
    """

    model_config = pydantic.ConfigDict(extra='ignore')

    kv_handle: str = pydantic.Field(pattern='^[A-Za-z0-9._-]{1,200}$')
    token_count: int


class EngineClient:
    """Starts and follows attempts on runners.

    :param kept: the Connections.
    """

    def __init__(self, kept):
        self._kept = kept
        self._handles_by_attempt = {}

    async def prefill(self, server, action, job):
        """Have a runner read a prompt.

        :returns: a PrefillDone or an AttemptFailed event; neither means
            that the request has run.
        """
        attempt = action.attempt
        passed = job.content
        data = passed.encode(server, _now_s(), (headers.STAGE, 'prefill'))
        bound_s = PREFILL_BASE_S + job.prompt_tokens / PREFILL_TOKENS_PER_S
        try:
            async with asyncio.timeout(bound_s):
                async with self._kept.call(server, data) as found:
                    read = await self._read_prefill(found, passed.attempt)
        except TimeoutError:
            reason = outcomes.Reason.BACKEND_SILENT
            read = result.Failure(calls.Failed(reason, 'no answer', False))
        match read:
            case result.Success(reply):
                self._handles_by_attempt[attempt] = server, reply.kv_handle
                return events.PrefillDone(
                    attempt, reply.kv_handle, reply.token_count
                )
            case result.Failure(failed):
                return events.AttemptFailed(
                    attempt, server.id, failed.reason, failed.detail, False
                )
        raise AssertionError('unreachable')

    async def _read_prefill(self, found, attempt):
        head = await calls.head_of(found, attempt)
        if isinstance(head, result.Failure):
            return head
        body = await calls.body_of(found.unwrap())
        if isinstance(body, result.Failure):
            return body
        if head.unwrap().status != 200:
            detail = f'status {head.unwrap().status}'
            return _invalid(detail)
        try:
            return result.Success(
                PrefillModel.model_validate_json(body.unwrap())
            )
        except pydantic.ValidationError:
            return _invalid('the reply to a prefill is malformed')

    async def decode(self, server, action, source, job):
        """Run a decode and yield lists of its events.

        The last event of the last list ends the attempt.
        """
        attempt = action.attempt
        data = _decode_call(server, action, source, job)
        try:
            async with self._kept.call(server, data) as found:
                following = self._follow(found, server, action, job)
                async with contextlib.aclosing(following) as batches:
                    async for batch in batches:
                        yield batch
        except TimeoutError:
            reason = outcomes.Reason.BACKEND_SILENT
            yield [
                events.AttemptFailed(attempt, server.id, reason, 'no bytes')
            ]

    async def _follow(self, found, server, action, job):
        attempt = action.attempt
        async with asyncio.timeout(FIRST_EVENT_S):
            head = await calls.head_of(found, job.content.attempt)
        match head:
            case result.Failure(failed):
                yield [_failed(attempt, server, failed)]
                return
            case result.Success(read) if read.status != 200:
                detail = f'status {read.status}'
                yield [_failed(attempt, server, _invalid(detail).failure())]
                return
        self._forget(action.handle)
        yield [events.TransferDone(attempt, head.unwrap())]
        async for batch in _events(
            found.unwrap(), server, attempt, len(action.produced)
        ):
            yield batch

    def _forget(self, handle):
        """Take note that a result was taken."""
        self._handles_by_attempt = {
            attempt: held
            for attempt, held in self._handles_by_attempt.items()
            if held[1] != handle
        }

    async def inspect(self, server, attempt):
        """Say what is left of an attempt: nothing that can be taken."""
        return events.Inspected(attempt, False, None)

    async def cancel(self, server, targets):
        """Free the results of prefills that nobody took.

        A call that runs ends with its connection, and those of a VM
        that is gone with it.

        :param targets: AttemptIds and Owners.
        :returns: the frozen set of targets.
        """
        for target in targets:
            if isinstance(target, ids.AttemptId):
                held, handle = self._handles_by_attempt.get(target, (None, ''))
                if held is not None and held.id == server.id:
                    del self._handles_by_attempt[target]
                    await self._free(held, handle)
        return result.Success(frozenset(targets))

    async def _free(self, server, handle):
        pairs = [
            ('Host', f'{server.host}:{server.port}'),
            (headers.EXPECTED_RUN, server.run_id),
        ]
        data = headers.call('DELETE', _HANDLE_PATH + handle, pairs, b'')
        with contextlib.suppress(TimeoutError):
            # A result that is not freed ends by itself a little later.
            async with asyncio.timeout(FREE_S):
                async with self._kept.call(server, data) as found:
                    if isinstance(found, result.Success):
                        await found.unwrap().part()
                        await calls.body_of(found.unwrap())


def _decode_call(server, action, source, job):
    extra = []
    if action.handle:
        place = f'{source.host}:{source.port}/{action.handle}'
        extra.append((headers.CACHE_SOURCE, place))
    if action.produced:
        last = event_stream.id_of(action.produced[-1])
        extra.append((headers.LAST_EVENT, last))
    return job.content.encode(server, _now_s(), *extra)


async def _events(connection, server, attempt, index):
    """Yield lists of the events of a decode."""
    splitter = event_stream.Splitter()
    while True:
        async with asyncio.timeout(BETWEEN_EVENTS_S):
            part = await connection.part()
        match part:
            case connections.Piece(data=data):
                found = splitter.feed(data)
                if found:
                    yield [
                        events.TokenArrived(attempt, number, text)
                        for number, text in enumerate(found, index)
                    ]
                    index += len(found)
            case connections.End():
                if splitter.rest:
                    detail = 'the stream ends within an event'
                    failed = _invalid(detail, True).failure()
                    yield [_failed(attempt, server, failed)]
                else:
                    yield [events.DecodeDone(attempt, index, 'stop')]
                return
            case connections.Problem():
                yield [_failed(attempt, server, calls.failure_of(part))]
                return


def _failed(attempt, server, failed):
    return events.AttemptFailed(
        attempt, server.id, failed.reason, failed.detail, failed.sent
    )


def _invalid(detail, sent=True):
    reason = outcomes.Reason.BACKEND_FAILED
    return result.Failure(calls.Failed(reason, detail, sent))


def _now_s():
    return asyncio.get_running_loop().time()
