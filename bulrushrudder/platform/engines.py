"""Prefill and decode on the platform's runners.

The result of a prefill is a handle, ``kv_handle`` on the wire. A decode
states the handle and the runner that has the result.
"""

import asyncio
import contextlib
import dataclasses

import pydantic
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.engines import connection_pool
from bulrushrudder.engines import responses
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.lifecycle import events
from bulrushrudder.platform import calls
from bulrushrudder.platform import event_stream
from bulrushrudder.platform import headers
from bulrushrudder.utils import timeouts

# Runners prefill about 30 tokens a ms. The timeout allows for a few
# queued prompts or a server several times slower, because repeating a
# prefill has a cost.
PREFILL_TIMEOUT_BASE_S = 0.7
PREFILL_TIMEOUT_TOKENS_PER_S = 10_000.0
# A transfer takes at most 2 s; the first token follows it.
FIRST_EVENT_TIMEOUT_S = 4.0
# Another runner can take up a stream that is silent for this time. Without
# one, the stream is followed for as long as its client waits.
BETWEEN_EVENTS_TIMEOUT_S = 2.4
FREE_HANDLE_TIMEOUT_S = 1.0
MAX_BATCH_EVENTS = 64
_HANDLE_PATH = '/bulrushrudder/kv-handle/'


class PrefillModel(pydantic.BaseModel):
    """A runner's answer to a prefill.

    ``token_count`` is the number of tokens of the prompt.
    """

    model_config = pydantic.ConfigDict(extra='ignore')

    kv_handle: str = pydantic.Field(pattern='^[A-Za-z0-9._-]{1,200}$')
    token_count: int


class EngineClient:
    """Runs prefills and decodes on runners.

    :param pool: the ConnectionPool.
    """

    def __init__(self, pool):
        self._pool = pool
        self._handles_by_attempt = {}

    async def prefill(self, server, action, job):
        """Run a prefill.

        :param action: the StartPrefill.
        :returns: a PrefillDone or an AttemptFailed event; neither means
            that the request has run.
        """
        attempt = action.attempt
        forwarded_call = job.content
        call = forwarded_call.encode(
            server, _now_s(), (headers.STAGE, 'prefill')
        )
        timeout_s = (
            PREFILL_TIMEOUT_BASE_S
            + job.prompt_tokens / PREFILL_TIMEOUT_TOKENS_PER_S
        )
        opened = None
        try:
            async with timeouts.RunningTimeout(timeout_s):
                async with self._pool.call(server, call) as opened:
                    outcome = await self._read_prefill_reply(opened)
        except TimeoutError:
            self._pool.examine(server)
            reason = outcomes.Reason.BACKEND_SILENT
            outcome = result.Failure(
                calls.CallFailure(
                    reason,
                    f'no answer to a prefill in {timeout_s:.3f} s',
                    False,
                    calls.is_silence_of_server(opened),
                )
            )
        match outcome:
            case result.Success(reply):
                self._handles_by_attempt[attempt] = server, reply.kv_handle
                return events.PrefillDone(
                    attempt, reply.kv_handle, reply.token_count
                )
            case result.Failure(failed):
                unsent = dataclasses.replace(failed, sent=False)
                return _attempt_failed(attempt, server, unsent)
        raise AssertionError(
            'unreachable: prefill neither succeeded nor failed'
        )

    async def _read_prefill_reply(self, opened):
        head = await calls.read_head(opened)
        if isinstance(head, result.Failure):
            return head
        body = await calls.read_body(opened.unwrap())
        if isinstance(body, result.Failure):
            return body
        if head.unwrap().status != 200:
            detail = f'prefill: status {head.unwrap().status}, expected 200'
            return _invalid_reply(detail)
        try:
            return result.Success(
                PrefillModel.model_validate_json(body.unwrap())
            )
        except pydantic.ValidationError:
            return _invalid_reply('prefill: malformed answer')

    async def decode(self, server, action, source, job):
        """Run a decode and yield lists of its events.

        The last event of the last list ends the attempt.

        :param action: the StartDecode.
        :param source: the server that has the result of the prefill.
        """
        attempt = action.attempt
        call = _encode_decode_call(server, action, source, job)
        opened = None
        try:
            async with self._pool.call(server, call) as opened:
                stream_batches = self._follow_stream(
                    opened, server, action, job
                )
                async with contextlib.aclosing(stream_batches) as batches:
                    async for batch in batches:
                        yield batch
        except TimeoutError:
            self._pool.examine(server)
            reason = outcomes.Reason.BACKEND_SILENT
            yield [
                events.AttemptFailed(
                    attempt,
                    server.id,
                    reason,
                    'decode: timeout waiting for the next part of the stream',
                    of_server=calls.is_silence_of_server(opened),
                )
            ]

    async def _follow_stream(self, opened, server, action, job):
        attempt = action.attempt
        timeout_s = _timeout_s(job, FIRST_EVENT_TIMEOUT_S)
        async with timeouts.RunningTimeout(timeout_s):
            head = await calls.read_head(opened)
        match head:
            case result.Failure(failed):
                yield [_attempt_failed(attempt, server, failed)]
                return
            case result.Success(received) if received.status != 200:
                detail = f'decode: status {received.status}, expected 200'
                yield [
                    _attempt_failed(
                        attempt, server, _invalid_reply(detail).failure()
                    )
                ]
                return
        self._forget_handle(action.handle)
        yield [
            events.TransferDone(
                attempt, head.unwrap(), _relay_vm(opened.unwrap())
            )
        ]
        async for batch in _read_events(
            opened.unwrap(),
            server,
            attempt,
            len(action.produced),
            _timeout_s(job, BETWEEN_EVENTS_TIMEOUT_S),
        ):
            yield batch

    def _forget_handle(self, handle):
        """Drop the record of a result that a decode has fetched."""
        self._handles_by_attempt = {
            attempt: entry
            for attempt, entry in self._handles_by_attempt.items()
            if entry[1] != handle
        }

    async def inspect(self, server, attempt):
        """Check whether a server has crashed.

        It has if it refuses connections. No part of an attempt can be taken
        over in any case.
        """
        listening = await self._pool.check(server)
        log.emit(
            catalogue.SERVER_INSPECTED,
            server=server.id,
            attempt=str(attempt),
            connections=listening.value,
        )
        crashed = listening is connection_pool.Listening.REFUSES
        return events.Inspected(attempt, crashed, None)

    async def cancel(self, server, targets):
        """Free the results of prefills that no decode has fetched.

        Runners end a running call when its connection closes, so calls
        of a lost VM need no cancellation.

        :param targets: AttemptIds and Owners.
        :returns: the frozen set of targets.
        """
        for target in targets:
            if isinstance(target, ids.AttemptId):
                source, handle = self._handles_by_attempt.get(
                    target, (None, '')
                )
                if source is not None and source.id == server.id:
                    del self._handles_by_attempt[target]
                    await self._free_handle(source, handle)
        return result.Success(frozenset(targets))

    async def _free_handle(self, server, handle):
        pairs = [
            ('Host', f'{server.host}:{server.port}'),
            (headers.EXPECTED_INSTANCE, server.run_id),
        ]
        call = responses.Call(
            headers.encode_request('DELETE', _HANDLE_PATH + handle, pairs, b'')
        )
        with contextlib.suppress(TimeoutError):
            # The runner discards a result that is not freed when its
            # retention time ends.
            async with asyncio.timeout(FREE_HANDLE_TIMEOUT_S):
                async with self._pool.call(server, call) as opened:
                    if isinstance(opened, result.Success):
                        await opened.unwrap().part()
                        await calls.read_body(opened.unwrap())


def _encode_decode_call(server, action, source, job):
    extra = []
    if action.handle:
        location = f'{source.host}:{source.port}/{action.handle}'
        extra.append((headers.CACHE_SOURCE, location))
    if action.produced:
        last = event_stream.event_id(action.produced[-1])
        extra.append((headers.LAST_EVENT, last))
    return job.content.encode(server, _now_s(), *extra)


def _timeout_s(job, timeout_s):
    """Return for how many seconds a silent runner is waited for."""
    return timeout_s if job.repeatable else max(timeout_s, job.event_wait_s)


async def _read_events(connection, server, attempt, index, timeout_s):
    """Yield lists of the events of a decode.

    :param timeout_s: seconds in which the next event must be complete.
    :raises TimeoutError: if no event is complete in time, whatever bytes
        arrive.
    """
    splitter = event_stream.EventSplitter()
    while True:
        async with timeouts.RunningTimeout(timeout_s):
            texts, last = await _read_complete_events(connection, splitter)
        for start in range(0, len(texts), MAX_BATCH_EVENTS):
            if start:
                # Other requests get their turn between full batches.
                await asyncio.sleep(0)
            batch = texts[start : start + MAX_BATCH_EVENTS]
            yield [
                events.TokenArrived(attempt, number, text)
                for number, text in enumerate(batch, index)
            ]
            index += len(batch)
        match last:
            case responses.End() if splitter.rest:
                detail = 'decode: stream ends within an event'
                failed = _invalid_reply(detail, True).failure()
                yield [_attempt_failed(attempt, server, failed)]
                return
            case responses.End(at_close=True) if index == 0:
                detail = 'decode: connection closed before the first event'
                failed = _invalid_reply(detail, True).failure()
                yield [_attempt_failed(attempt, server, failed)]
                return
            case responses.End():
                yield [events.DecodeDone(attempt, index, 'stop')]
                return
            case responses.Problem():
                failed = calls.failure_from(last)
                yield [_attempt_failed(attempt, server, failed)]
                return


async def _read_complete_events(connection, splitter):
    """Read until an event is complete or the response has ended.

    :returns: the texts of the events, and the End or Problem, if any.
    """
    while True:
        part = await connection.part()
        match part:
            case responses.BodyChunk(data=data):
                try:
                    texts = splitter.feed(data)
                except event_stream.EventTooLongError as error:
                    connection.abort()
                    kind = responses.ProblemKind.INVALID
                    return [], responses.Problem(
                        kind, str(error), True, of_server=True
                    )
                if texts:
                    return texts, None
            case responses.End() | responses.Problem():
                return [], part


def _relay_vm(connection):
    """Return the VM through which a connection goes, '' if it is direct."""
    return connection.relay.vm if connection.relay else ''


def _attempt_failed(attempt, server, failed):
    return events.AttemptFailed(
        attempt,
        server.id,
        failed.reason,
        failed.detail,
        failed.sent,
        failed.of_server,
        failed.held_back,
    )


def _invalid_reply(detail, sent=True):
    reason = outcomes.Reason.BACKEND_FAILED
    return result.Failure(
        calls.CallFailure(reason, detail, sent, of_server=True)
    )


def _now_s():
    return asyncio.get_running_loop().time()
