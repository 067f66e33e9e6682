"""A simulated model engine for trials and tests.

The tokens are a function of the prompt alone, so that a caller can check
that a response is complete and belongs to its own prompt.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json

import aiohttp
from aiohttp import web

from bulrushrudder.utils import sockets

TOKEN_INTERVAL_S = 0.002
PREFILL_DURATION_S = 0.005
KV_CACHE_LIFETIME_S = 1.0
DEFAULT_PLACES = 1000
MAX_REMEMBERED_ATTEMPTS = 10000
# Limits the tokens that are generated ahead of a slow reader.
MAX_UNSENT_BYTES = 16 * 1024
BYTES_PER_TOKEN = 4


def expected_tokens(prompt, count):
    """Return the texts of the first `count` tokens for a prompt."""
    prompt_digest = hashlib.sha256(prompt.encode()).hexdigest()[:6]
    return [f'{prompt_digest}.{number} ' for number in range(count)]


@dataclasses.dataclass(slots=True)
class HeldAttempt:
    """An attempt that occupies a place on the engine.

    :param vm: the VM that sent the order.
    :param incarnation: the incarnation of that VM's process.
    :param stopped: set when the attempt has to end.
    """

    vm: str
    incarnation: int
    stopped: asyncio.Event


class Engine:
    """A prefill and decode engine without a model.

    A KV cache is freed when it is fetched, when its attempt is cancelled,
    or when its lifetime has passed since the prefill, the export or the
    loss of the decode connection. An order that arrives after its
    cancellation is refused.

    :param token_s: seconds between two tokens.
    :param prefill_s: seconds that a prefill takes.
    :param cache_s: lifetime of a KV cache that is not fetched, in seconds.
    :param places: number of attempts that may run at the same time.
    :ivar held_by_attempt: attempts that occupy a place.
    :ivar runs: number of orders accepted.
    :ivar tokens: number of tokens sent.
    """

    def __init__(
        self,
        token_s=TOKEN_INTERVAL_S,
        prefill_s=PREFILL_DURATION_S,
        cache_s=KV_CACHE_LIFETIME_S,
        places=DEFAULT_PLACES,
    ):
        self._token_s = token_s
        self._prefill_s = prefill_s
        self._cache_s = cache_s
        self._places = places
        self.held_by_attempt: dict[str, HeldAttempt] = {}
        self.runs = 0
        self.tokens = 0
        self._known_attempts = collections.deque(
            maxlen=MAX_REMEMBERED_ATTEMPTS
        )
        self._cancelled_attempts = collections.deque(
            maxlen=MAX_REMEMBERED_ATTEMPTS
        )

    def application(self):
        """Return an aiohttp application with the engine API."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post('/prefill', self._prefill)
        app.router.add_post('/decode', self._decode)
        app.router.add_post('/cancel', self._cancel)
        app.router.add_post('/export', self._export)
        app.router.add_post('/fetch', self._fetch)
        return app

    async def _prefill(self, request):
        order = await request.json()
        held = self._accept(order)
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
                'prompt_tokens': -(-size // BYTES_PER_TOKEN),
            }
        )

    async def _decode(self, request):
        order = await request.json()
        held = self._accept(order)
        try:
            await self._fetch_kv_cache(order)
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

    def _accept(self, order):
        """Accept an order, unless it is cancelled or every place is taken."""
        attempt = order['attempt']
        if attempt in self._cancelled_attempts:
            raise web.HTTPConflict
        if len(self.held_by_attempt) >= self._places:
            raise web.HTTPServiceUnavailable
        held = HeldAttempt(order['vm'], order['incarnation'], asyncio.Event())
        self.held_by_attempt[attempt] = held
        self._known_attempts.append(attempt)
        self.runs += 1
        return held

    async def _fetch_kv_cache(self, order):
        """Fetch the KV cache from the server that holds it."""
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
            await response.write(_encode_event(item))
            self.tokens += 1
        item = {
            'attempt': attempt,
            'index': count,
            'finish_reason': 'length',
        }
        await response.write(_encode_event(item))

    async def _cancel(self, request):
        order = await request.json()
        attempts = [a for a in order['attempts'] if self._cancel_attempt(a)]
        vms = [o['vm'] for o in order['owners'] if self._cancel_attempts_of(o)]
        return web.json_response({'attempts': attempts, 'vms': vms})

    def _cancel_attempt(self, attempt):
        """Free the place of an attempt; return whether it had one."""
        self._cancelled_attempts.append(attempt)
        held = self.held_by_attempt.pop(attempt, None)
        if held is None:
            return False
        held.stopped.set()
        return True

    def _cancel_attempts_of(self, owner):
        vm = owner['vm']
        incarnation = owner['incarnation']
        owned_attempts = [
            attempt
            for attempt, held in self.held_by_attempt.items()
            if held.vm == vm and held.incarnation <= incarnation
        ]
        return any(
            [self._cancel_attempt(attempt) for attempt in owned_attempts]
        )

    async def _export(self, request):
        attempt = (await request.json())['attempt']
        held = self.held_by_attempt.get(attempt)
        if held is None:
            known = attempt in self._known_attempts
            return web.json_response({'known': known, 'handle': None})
        held.stopped.set()
        exported = HeldAttempt(held.vm, held.incarnation, asyncio.Event())
        self.held_by_attempt[attempt] = exported
        self._free_later(attempt, exported)
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


def _encode_event(item):
    return b'data: ' + json.dumps(item).encode() + b'\n\n'
