"""A stand-in for model engines, for trials and tests.

The tokens follow from the prompt alone, so that a caller can check that
an answer is whole and its own.
"""

import asyncio
import dataclasses
import hashlib
import json

from aiohttp import web

TOKEN_S = 0.002
PREFILL_S = 0.005
BYTES_A_TOKEN = 4


def expected_tokens(prompt, count):
    """Return the texts of the first tokens that answer a prompt."""
    mark = hashlib.sha256(prompt.encode()).hexdigest()[:6]
    return [f'{mark}.{number} ' for number in range(count)]


@dataclasses.dataclass(slots=True)
class Held:
    """What an attempt holds on the engine."""

    prompt: str
    cancelled: asyncio.Event


class Engine:
    """A prefill and decode engine without a model.

    :param token_s: seconds between tokens.
    :param prefill_s: seconds that a prefill takes.
    """

    def __init__(self, token_s=TOKEN_S, prefill_s=PREFILL_S):
        self._token_s = token_s
        self._prefill_s = prefill_s
        self.held_by_attempt: dict[str, Held] = {}
        self.runs = 0

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post('/prefill', self._prefill)
        app.router.add_post('/decode', self._decode)
        app.router.add_post('/cancel', self._cancel)
        return app

    async def _prefill(self, request):
        order = await request.json()
        self.runs += 1
        await asyncio.sleep(self._prefill_s)
        prompt_bytes = len(order['prompt'].encode())
        return web.json_response(
            {
                'attempt': order['attempt'],
                'handle': 'kv-' + order['attempt'],
                'prompt_tokens': -(-prompt_bytes // BYTES_A_TOKEN),
            }
        )

    async def _decode(self, request):
        order = await request.json()
        attempt = order['attempt']
        held = Held(order['prompt'], asyncio.Event())
        self.held_by_attempt[attempt] = held
        self.runs += 1
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        try:
            await self._stream(response, order, held)
        finally:
            self.held_by_attempt.pop(attempt, None)
        return response

    async def _stream(self, response, order, held):
        attempt = order['attempt']
        count = order['max_tokens']
        texts = expected_tokens(order['prompt'], count)
        for index in range(len(order['produced']), count):
            await asyncio.sleep(self._token_s)
            if held.cancelled.is_set():
                return
            item = {'attempt': attempt, 'index': index, 'text': texts[index]}
            await response.write(_event(item))
        item = {
            'attempt': attempt,
            'index': count,
            'finish_reason': 'length',
        }
        await response.write(_event(item))

    async def _cancel(self, request):
        order = await request.json()
        held = self.held_by_attempt.get(order['attempt'])
        if held is not None:
            held.cancelled.set()
        return web.json_response({'held': held is not None})


def _event(item):
    return b'data: ' + json.dumps(item).encode() + b'\n\n'
