"""Speaks to model engines over HTTP."""

import aiohttp
import pydantic
from returns import result

from bulrushrudder.core import outcomes
from bulrushrudder.engines import wire
from bulrushrudder.lifecycle import events

CONNECT_S = 2.0
SILENCE_S = 10.0
CANCEL_S = 2.0
MAX_LINE_BYTES = 256 * 1024

_FAILURES = (aiohttp.ClientError, OSError, pydantic.ValidationError)


class EngineClient:
    """Starts, follows and cancels attempts on engines.

    :param session: an aiohttp client session; its owner closes it.
    """

    def __init__(self, session):
        self._session = session

    async def prefill(self, server, attempt, order):
        """Run a prefill.

        :param server: the BackendServer.
        :returns: a PrefillDone or an AttemptFailed event.
        """
        url = _url(server, 'prefill')
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_S, sock_read=SILENCE_S
        )
        try:
            async with self._session.post(
                url, json=order.model_dump(), timeout=timeout
            ) as response:
                response.raise_for_status()
                text = await response.read()
            reply = wire.PrefillReply.model_validate_json(text)
        except TimeoutError:
            return _silent(attempt, server)
        except _FAILURES as error:
            return _failed(attempt, server, error)
        if reply.attempt != str(attempt):
            return _failed(attempt, server, 'answer to another attempt')
        return events.PrefillDone(attempt, reply.handle, reply.prompt_tokens)

    async def decode(self, server, attempt, order):
        """Run a decode and yield its events; the last one ends it."""
        url = _url(server, 'decode')
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_S, sock_read=SILENCE_S
        )
        try:
            async with self._session.post(
                url, json=order.model_dump(), timeout=timeout
            ) as response:
                response.raise_for_status()
                async for line in response.content:
                    if not line.startswith(b'data: '):
                        continue
                    event = _decode_event(attempt, server, line[6:])
                    yield event
                    if not isinstance(event, events.TokenArrived):
                        return
        except TimeoutError:
            yield _silent(attempt, server)
            return
        except (*_FAILURES, ValueError) as error:
            yield _failed(attempt, server, error)
            return
        yield _failed(attempt, server, 'the stream ended early')

    async def cancel(self, server, attempt):
        """Free what an attempt holds on a server.

        :returns: None, or the error as text.
        """
        order = wire.CancelOrder(attempt=str(attempt))
        timeout = aiohttp.ClientTimeout(total=CANCEL_S)
        try:
            async with self._session.post(
                _url(server, 'cancel'),
                json=order.model_dump(),
                timeout=timeout,
            ) as response:
                response.raise_for_status()
        except (*_FAILURES, TimeoutError) as error:
            return result.Failure(repr(error))
        return result.Success(None)


def _url(server, path):
    host = f'[{server.host}]' if ':' in server.host else server.host
    return f'http://{host}:{server.port}/{path}'


def _decode_event(attempt, server, text):
    item = wire.DecodeItem.model_validate_json(text)
    if item.attempt != str(attempt):
        return _failed(attempt, server, 'item of another attempt')
    if item.finish_reason is not None:
        return events.DecodeDone(attempt, item.index, item.finish_reason)
    return events.TokenArrived(attempt, item.index, item.text)


def _failed(attempt, server, error):
    return events.AttemptFailed(
        attempt, server.id, outcomes.Reason.BACKEND_FAILED, str(error)
    )


def _silent(attempt, server):
    return events.AttemptFailed(
        attempt, server.id, outcomes.Reason.BACKEND_SILENT, 'no bytes came'
    )
