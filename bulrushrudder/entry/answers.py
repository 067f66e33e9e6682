"""Sinks that turn lifecycle actions into HTTP answers."""

import asyncio

from aiohttp import web

from bulrushrudder.entry import completions
from bulrushrudder.lifecycle import actions


class WholeAnswer:
    """Collects an answer and sends it as one JSON text.

    :param request_id: echoed to the caller.
    """

    def __init__(self, request_id, model):
        self._request_id = request_id
        self._model = model
        self._texts = []
        self.response = None
        self.refusal = None

    async def put(self, action):
        """Take a Relay, Complete or Refuse."""
        match action:
            case actions.Relay(text=text):
                self._texts.append(text)
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
    """Sends an answer token by token as server-sent events.

    :param http_request: the aiohttp request.
    """

    def __init__(self, http_request, request_id, model):
        self._http_request = http_request
        self._request_id = request_id
        self._model = model
        self.response = None
        self.refusal = None

    async def put(self, action):
        """Take a Relay, Complete or Refuse."""
        match action:
            case actions.Relay(index=index, text=text):
                await self._write(
                    completions.chunk(
                        self._request_id, self._model, index, text
                    )
                )
            case actions.Complete():
                await self._write(
                    completions.last_chunk(
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
        await self._write(completions.failure_chunk(refusal, self._request_id))
        await self._end()

    async def _write(self, data):
        if self.response is None:
            self.response = web.StreamResponse(
                headers={
                    'Content-Type': 'text/event-stream',
                    'Cache-Control': 'no-store',
                    'X-Request-Id': self._request_id,
                }
            )
            await self.response.prepare(self._http_request)
        try:
            await self.response.write(data)
        except ConnectionError:
            # The handler is cancelled and reports that the caller left.
            await asyncio.sleep(0)

    async def _end(self):
        try:
            await self.response.write_eof()
        except ConnectionError:
            await asyncio.sleep(0)


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
