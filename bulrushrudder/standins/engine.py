"""A stand-in for model engines, for trials and tests.

The tokens follow from the prompt alone, so that a caller can check that
an answer is whole and its own.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json

import aiohttp
from aiohttp import web

from bulrushrudder.utils import sockets

TOKEN_S = 0.002
PREFILL_S = 0.005
CACHE_S = 1.0
PLACES = 1000
MAX_REMEMBERED = 10000
# An engine stops making tokens when nobody takes them.
MAX_UNSENT_BYTES = 16 * 1024
BYTES_A_TOKEN = 4


def expected_tokens(prompt, count):
    """Return the texts of the first tokens that answer a prompt."""
    mark = hashlib.sha256(prompt.encode()).hexdigest()[:6]
    return [f'{mark}.{number} ' for number in range(count)]


@dataclasses.dataclass(slots=True)
class Held:
    """What an attempt holds on the engine.

    :param stopped: set when the attempt is to end.
    """

    vm: str
    incarnation: int
    stopped: asyncio.Event


class Engine:
    """A prefill and decode engine without a model.

    It frees a KV cache when the cache is fetched, cancelled or older
    than its lifetime, which also counts from a lost connection. Orders
    that come after their cancellation are refused.

    :param token_s: seconds between tokens.
    :param prefill_s: seconds that a prefill takes.
    :param cache_s: seconds that a KV cache waits to be fetched.
    :param places: requests that it takes at once.
    """

    def __init__(
        self,
        token_s=TOKEN_S,
        prefill_s=PREFILL_S,
        cache_s=CACHE_S,
        places=PLACES,
    ):
        self._token_s = token_s
        self._prefill_s = prefill_s
        self._cache_s = cache_s
        self._places = places
        self.held_by_attempt: dict[str, Held] = {}
        self.runs = 0
        self.tokens = 0
        self._known = collections.deque(maxlen=MAX_REMEMBERED)
        self._cancelled = collections.deque(maxlen=MAX_REMEMBERED)

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post('/prefill', self._prefill)
        app.router.add_post('/decode', self._decode)
        app.router.add_post('/cancel', self._cancel)
        app.router.add_post('/export', self._export)
        app.router.add_post('/fetch', self._fetch)
        return app

    async def _prefill(self, request):
        order = await request.json()
        held = self._take(order)
        attempt = order['attempt']
        try:
            async with asyncio.timeout(self._prefill_s):
                await held.stopped.wait()
            raise web.HTTPConflict
        except TimeoutError:
            self._free_later(attempt, held)
        except BaseException:
            self._free(attempt, held)
            raise
        size = len(order['prompt'].encode())
        return web.json_response(
            {
                'attempt': attempt,
                'handle': 'kv-' + attempt,
                'prompt_tokens': -(-size // BYTES_A_TOKEN),
            }
        )

    async def _decode(self, request):
        order = await request.json()
        held = self._take(order)
        try:
            await self._fetch_cache(order)
            response = web.StreamResponse(
                headers={'Content-Type': 'text/event-stream'}
            )
            await response.prepare(request)
            if request.transport is not None:
                sockets.limit_send_buffer(request.transport, MAX_UNSENT_BYTES)
            await self._stream(response, order, held)
        except ConnectionError:
            self._free_later(order['attempt'], held)
            raise
        except BaseException:
            self._free(order['attempt'], held)
            raise
        self._free(order['attempt'], held)
        return response

    def _take(self, order):
        """Take an order in, unless it is cancelled or there is no place."""
        attempt = order['attempt']
        if attempt in self._cancelled:
            raise web.HTTPConflict
        if len(self.held_by_attempt) >= self._places:
            raise web.HTTPServiceUnavailable
        held = Held(order['vm'], order['incarnation'], asyncio.Event())
        self.held_by_attempt[attempt] = held
        self._known.append(attempt)
        self.runs += 1
        return held

    async def _fetch_cache(self, order):
        """Take the KV cache over from the server that holds it."""
        url = f'http://{order["kv_host"]}:{order["kv_port"]}/fetch'
        try:
            async with aiohttp.request(
                'POST', url, json={'handle': order['kv_handle']}
            ) as response:
                if response.status == 200:
                    return
        except (aiohttp.ClientError, OSError):
            pass
        raise web.HTTPFailedDependency

    async def _stream(self, response, order, held):
        attempt = order['attempt']
        count = order['max_tokens']
        texts = expected_tokens(order['prompt'], count)
        for index in range(len(order['produced']), count):
            await asyncio.sleep(self._token_s)
            if held.stopped.is_set():
                return
            item = {'attempt': attempt, 'index': index, 'text': texts[index]}
            await response.write(_event(item))
            self.tokens += 1
        item = {
            'attempt': attempt,
            'index': count,
            'finish_reason': 'length',
        }
        await response.write(_event(item))

    async def _cancel(self, request):
        order = await request.json()
        attempts = [a for a in order['attempts'] if self._stop(a)]
        vms = [o['vm'] for o in order['owners'] if self._stop_owner(o)]
        return web.json_response({'attempts': attempts, 'vms': vms})

    def _stop(self, attempt):
        """Free what an attempt holds and return whether it held any."""
        self._cancelled.append(attempt)
        held = self.held_by_attempt.pop(attempt, None)
        if held is None:
            return False
        held.stopped.set()
        return True

    def _stop_owner(self, owner):
        vm = owner['vm']
        incarnation = owner['incarnation']
        found = [
            attempt
            for attempt, held in self.held_by_attempt.items()
            if held.vm == vm and held.incarnation <= incarnation
        ]
        return any([self._stop(attempt) for attempt in found])

    async def _export(self, request):
        attempt = (await request.json())['attempt']
        held = self.held_by_attempt.get(attempt)
        if held is None:
            known = attempt in self._known
            return web.json_response({'known': known, 'handle': None})
        held.stopped.set()
        kept = Held(held.vm, held.incarnation, asyncio.Event())
        self.held_by_attempt[attempt] = kept
        self._free_later(attempt, kept)
        return web.json_response({'known': True, 'handle': 'kv-' + attempt})

    async def _fetch(self, request):
        handle = (await request.json())['handle']
        attempt = handle.removeprefix('kv-')
        if self.held_by_attempt.pop(attempt, None) is None:
            raise web.HTTPNotFound
        return web.json_response({})

    def _free(self, attempt, held):
        if self.held_by_attempt.get(attempt) is held:
            del self.held_by_attempt[attempt]

    def _free_later(self, attempt, held):
        loop = asyncio.get_running_loop()
        loop.call_later(self._cache_s, self._free, attempt, held)


def _event(item):
    return b'data: ' + json.dumps(item).encode() + b'\n\n'
