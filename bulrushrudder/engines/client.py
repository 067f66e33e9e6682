"""HTTP client of model engines.

Every order uses a new connection: a device on the path may silently have
dropped an idle one, on which the order would time out.
"""

import asyncio
import functools

import aiohttp
import pydantic
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.engines import lines
from bulrushrudder.engines import wire
from bulrushrudder.lifecycle import events

CONNECT_TIMEOUT_S = 1.0
PREFILL_BASE_TIMEOUT_S = 5.0
MIN_PREFILL_TOKENS_PER_S = 500.0
TRANSFER_TIMEOUT_S = 5.0
FIRST_TOKEN_TIMEOUT_S = 5.0
BETWEEN_TOKENS_TIMEOUT_S = 3.0
CANCEL_TIMEOUT_S = 2.0
INSPECT_TIMEOUT_S = 1.0
READ_BUFFER_BYTES = 8 * 1024
MAX_REPLY_BYTES = 64 * 1024

_FULL_STATUSES = frozenset({429, 503})
_TRANSFER_FAILED_STATUS = 424
_ENGINE_ERRORS = (
    aiohttp.ClientError,
    OSError,
    pydantic.ValidationError,
    ValueError,
)
_DATA_PREFIX = b'data: '


class EngineClient:
    """Starts, follows, inspects and cancels attempts on engines.

    :param session: an aiohttp client session; the caller closes it.
    """

    def __init__(self, session):
        self._session = session

    async def prefill(self, server, action, job):
        """Run a prefill.

        :param server: the BackendServer.
        :param action: the StartPrefill action.
        :param job: the Job; a longer prompt extends the timeout.
        :returns: a PrefillDone or an AttemptFailed event.
        """
        attempt = action.attempt
        order = _prefill_order(action, job)
        timeout_s = (
            PREFILL_BASE_TIMEOUT_S
            + job.prompt_tokens / MIN_PREFILL_TOKENS_PER_S
        )
        try:
            async with self._post(
                server, 'prefill', order, timeout_s
            ) as response:
                refused = _failure_of_status(attempt, server, response.status)
                if refused is not None:
                    return refused
                text = await _read_reply(response)
            reply = wire.PrefillReply.model_validate_json(text)
        except aiohttp.ClientConnectorError as error:
            return _unreachable_failure(attempt, server, error)
        except TimeoutError as error:
            return _timeout_failure(attempt, server, error)
        except _ENGINE_ERRORS as error:
            return _backend_failure(attempt, server, error)
        if reply.attempt != str(attempt):
            return _backend_failure(
                attempt,
                server,
                'reply names another attempt',
            )
        return events.PrefillDone(attempt, reply.handle, reply.prompt_tokens)

    async def decode(self, server, action, source, job):
        """Run a decode and yield lists of its events.

        The last event of the last list ends the attempt. The stream is
        read only as fast as the caller consumes the lists.

        :param server: the BackendServer that decodes.
        :param action: the StartDecode action.
        :param source: the BackendServer that holds the KV cache.
        :param job: the Job.
        """
        attempt = action.attempt
        order = _decode_order(action, source, job)
        try:
            async with self._post(server, 'decode', order, None) as response:
                refused = _failure_of_status(attempt, server, response.status)
                if refused is not None:
                    yield [refused]
                    return
                yield [events.TransferDone(attempt)]
                async for batch in _follow(response.content, attempt, server):
                    yield batch
        except aiohttp.ClientConnectorError as error:
            yield [_unreachable_failure(attempt, server, error)]
        except TimeoutError as error:
            yield [_timeout_failure(attempt, server, error)]
        except _ENGINE_ERRORS as error:
            yield [_backend_failure(attempt, server, error)]

    async def inspect(self, server, attempt):
        """Find out whether a server lost an attempt and its KV cache.

        :returns: an Inspected event; a server that does not respond in
            time does not count as crashed.
        """
        order = wire.ExportOrder(attempt=str(attempt))
        try:
            async with self._post(
                server, 'export', order, INSPECT_TIMEOUT_S
            ) as response:
                _check_status(response.status)
                text = await _read_reply(response)
            reply = wire.ExportReply.model_validate_json(text)
        except TimeoutError:
            return events.Inspected(attempt, False, None)
        except (aiohttp.ClientConnectionError, OSError):
            return events.Inspected(attempt, True, None)
        except _ENGINE_ERRORS:
            return events.Inspected(attempt, False, None)
        return events.Inspected(attempt, not reply.known, reply.handle)

    async def cancel(self, server, targets):
        """Cancel attempts, or all attempts of owners.

        :param targets: AttemptIds and Owners.
        :returns: the frozen set of targets that held resources on the
            server, or the error as text.
        """
        by_text = {str(t): t for t in targets if isinstance(t, ids.AttemptId)}
        by_vm = {t.vm: t for t in targets if isinstance(t, ids.Owner)}
        order = wire.CancelOrder(
            attempts=list(by_text),
            owners=[
                wire.OwnerItem(vm=owner.vm, incarnation=owner.incarnation)
                for owner in by_vm.values()
            ],
        )
        try:
            async with self._post(
                server, 'cancel', order, CANCEL_TIMEOUT_S
            ) as response:
                _check_status(response.status)
                text = await _read_reply(response)
            reply = wire.CancelReply.model_validate_json(text)
        except (*_ENGINE_ERRORS, TimeoutError) as error:
            return result.Failure(repr(error))
        held = {by_text[text] for text in reply.attempts if text in by_text}
        held |= {by_vm[vm] for vm in reply.vms if vm in by_vm}
        return result.Success(frozenset(held))

    def _post(self, server, path, order, total_s):
        host = f'[{server.host}]' if ':' in server.host else server.host
        return self._session.post(
            f'http://{host}:{server.port}/{path}',
            data=order.model_dump_json(),
            headers={'Content-Type': 'application/json'},
            timeout=aiohttp.ClientTimeout(
                total=total_s,
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=TRANSFER_TIMEOUT_S if total_s is None else None,
            ),
            read_bufsize=READ_BUFFER_BYTES,
            allow_redirects=False,
        )


def _prefill_order(action, job):
    attempt = action.attempt
    return wire.PrefillOrder(
        attempt=str(attempt),
        vm=attempt.owner.vm,
        incarnation=attempt.owner.incarnation,
        model=job.model,
        prompt=job.prompt,
        produced=list(action.produced),
        priority=int(job.interactive),
    )


def _decode_order(action, source, job):
    attempt = action.attempt
    return wire.DecodeOrder(
        attempt=str(attempt),
        vm=attempt.owner.vm,
        incarnation=attempt.owner.incarnation,
        model=job.model,
        prompt=job.prompt,
        kv_host=source.host,
        kv_port=source.port,
        kv_handle=action.handle,
        produced=list(action.produced),
        max_tokens=job.output_tokens,
        priority=int(job.interactive),
    )


async def _read_reply(response):
    """Read the body of a reply.

    :raises ValueError: if the body exceeds the limit.
    """
    text = await response.content.read(MAX_REPLY_BYTES)
    while len(text) < MAX_REPLY_BYTES:
        more = await response.content.read(MAX_REPLY_BYTES - len(text))
        if not more:
            return text
        text += more
    raise ValueError(f'reply reaches the limit of {MAX_REPLY_BYTES} bytes')


async def _follow(content, attempt, server):
    """Yield lists of the events of a decode stream."""
    splitter = lines.LineSplitter()
    read_event = functools.partial(_parse_event, attempt, str(attempt), server)
    timeout_s = FIRST_TOKEN_TIMEOUT_S
    while True:
        batch = await _read_events(content, splitter, read_event, timeout_s)
        if not batch:
            yield [
                _backend_failure(
                    attempt, server, 'stream ended without its last event'
                )
            ]
            return
        yield batch
        if not isinstance(batch[-1], events.TokenArrived):
            return
        timeout_s = BETWEEN_TOKENS_TIMEOUT_S


async def _read_events(content, splitter, read_event, timeout_s):
    """Read until at least one event is complete.

    :param timeout_s: seconds until the first event must be complete.
    :returns: the events, or an empty list at the end of the stream.
    :raises TimeoutError: if no event is complete in time.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            data = await content.readany()
            if not data:
                return []
            batch = []
            for line in splitter.feed(data):
                if not line.startswith(_DATA_PREFIX):
                    continue
                batch.append(read_event(line[len(_DATA_PREFIX) :]))
                if not isinstance(batch[-1], events.TokenArrived):
                    return batch
            if batch:
                return batch


def _parse_event(attempt, name, server, text):
    try:
        item = wire.DecodeItem.model_validate_json(text)
    except pydantic.ValidationError as error:
        return _backend_failure(attempt, server, error)
    if item.attempt != name:
        return _backend_failure(
            attempt, server, 'stream event names another attempt'
        )
    if item.finish_reason is not None:
        return events.DecodeDone(attempt, item.index, item.finish_reason)
    return events.TokenArrived(attempt, item.index, item.text)


def _failure_of_status(attempt, server, status):
    """Return the AttemptFailed event for an HTTP status, None for 200."""
    if status == 200:
        return None
    reason = outcomes.Reason.BACKEND_FAILED
    sent = True
    if status in _FULL_STATUSES:
        reason = outcomes.Reason.BACKEND_FULL
        sent = False
    elif status == _TRANSFER_FAILED_STATUS:
        reason = outcomes.Reason.TRANSFER_FAILED
    detail = f'engine answered with HTTP status {status}'
    return events.AttemptFailed(attempt, server.id, reason, detail, sent)


def _check_status(status):
    """Check the status of an inspection or a cancellation.

    aiohttp takes all from 000 to 999 for statuses of responses.

    :raises ValueError: if it does not say that the order was carried out.
    """
    if status != 200:
        raise ValueError(f'engine answered with HTTP status {status}')


def _backend_failure(attempt, server, error):
    reason = outcomes.Reason.BACKEND_FAILED
    detail = error if isinstance(error, str) else _describe(error)
    return events.AttemptFailed(attempt, server.id, reason, detail)


def _describe(error):
    """Return the description of an exception, without text of an engine."""
    if isinstance(error, pydantic.ValidationError):
        fields = {'.'.join(map(str, e['loc'])) for e in error.errors()}
        return f'invalid reply, fields: {", ".join(sorted(fields))}'
    return type(error).__name__


def _unreachable_failure(attempt, server, error):
    """Return the event for a failed connect, before anything was sent."""
    reason = outcomes.Reason.BACKEND_UNREACHABLE
    detail = type(error).__name__
    return events.AttemptFailed(attempt, server.id, reason, detail, False)


def _timeout_failure(attempt, server, error):
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return _unreachable_failure(attempt, server, error)
    reason = outcomes.Reason.BACKEND_SILENT
    return events.AttemptFailed(
        attempt, server.id, reason, 'engine did not respond in time'
    )
