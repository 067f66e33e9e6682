"""Sinks that turn lifecycle actions into HTTP responses."""

import asyncio

from aiohttp import web

from bulrushrudder.entry import completions
from bulrushrudder.lifecycle import actions
from bulrushrudder.utils import sockets

CALLER_STALL_TIMEOUT_S = 20.0
MAX_UNSENT_BYTES = 16 * 1024


class BufferedAnswer:
    """Buffers an answer and returns it as one JSON response.

    :param request_id: returned to the caller as X-Request-Id.
    :param model: id of the model that answers.
    :ivar response: the HTTP response; set by end().
    :ivar refusal: the Refusal if the request failed, else None.
    """

    def __init__(self, request_id, model):
        self._request_id = request_id
        self._model = model
        self._texts = []
        self.on_caller_gone = None
        self.response = None
        self.refusal = None

    async def relay(self, relay_actions):
        """Add the tokens of Relay actions to the answer."""
        self._texts += [action.text for action in relay_actions]

    async def end(self, action):
        """Build the response for a Complete or Refuse action."""
        match action:
            case actions.Complete():
                text = completions.whole(
                    self._request_id, self._model, self._texts, action
                )
                self.response = web.Response(
                    text=text,
                    content_type='application/json',
                    headers={'X-Request-Id': self._request_id},
                )
            case actions.Refuse(refusal=refusal):
                self.refusal = refusal
                self.response = refuse(refusal, self._request_id)


class StreamedAnswer:
    """Streams an answer token by token as server-sent events.

    Writing blocks while the caller does not read, for at most
    CALLER_STALL_TIMEOUT_S.

    :param http_request: the aiohttp request.
    :param request_id: returned to the caller as X-Request-Id.
    :param model: id of the model that answers.
    :ivar on_caller_gone: called when the caller has disconnected or stalled.
    :ivar response: the HTTP response; None until it has begun.
    :ivar refusal: the Refusal if the request failed, else None.
    """

    def __init__(self, http_request, request_id, model):
        self._http_request = http_request
        self._request_id = request_id
        self._model = model
        self.on_caller_gone = None
        self._encoder = completions.TokenEncoder(request_id, model)
        self.response = None
        self.refusal = None

    async def relay(self, relay_actions):
        """Send the tokens of Relay actions."""
        encode = self._encoder.encode
        await self._write(
            b''.join(
                [encode(action.index, action.text) for action in relay_actions]
            )
        )

    async def end(self, action):
        """End the answer with a Complete or Refuse action."""
        match action:
            case actions.Complete():
                await self._write(
                    completions.final_events(
                        self._request_id, self._model, action
                    )
                )
                await self._end()
            case actions.Refuse(refusal=refusal):
                await self._refuse(refusal)

    async def _refuse(self, refusal):
        self.refusal = refusal
        if self.response is None:
            self.response = refuse(refusal, self._request_id)
            return
        await self._write(completions.error_event(refusal, self._request_id))
        await self._end()

    async def _write(self, data):
        try:
            async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
                if self.response is None:
                    await self._start()
                await self.response.write(data)
        except (ConnectionError, TimeoutError):
            self.on_caller_gone()

    async def _start(self):
        self.response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-store',
                'X-Request-Id': self._request_id,
            }
        )
        transport = self._http_request.transport
        if transport is not None:
            sockets.limit_send_buffer(transport, MAX_UNSENT_BYTES)
        await self.response.prepare(self._http_request)

    async def _end(self):
        try:
            async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
                await self.response.write_eof()
        except (ConnectionError, TimeoutError):
            self.on_caller_gone()


def refuse(refusal, request_id):
    """Return the HTTP response of a refusal."""
    headers = {
        'X-Request-Id': request_id,
        'X-Execution': refusal.execution.value,
    }
    if refusal.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(refusal.retry_after_s)))
    return web.Response(
        status=completions.status_of(refusal),
        text=completions.refusal_body(refusal, request_id),
        content_type='application/json',
        headers=headers,
    )
