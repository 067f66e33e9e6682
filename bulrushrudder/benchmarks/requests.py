"""Measures the request path of one entry process on one core.

The callers and the engine run in the same process and are as cheap as
can be, so that the figures hold their cost as well.
"""

import asyncio
import contextlib
import dataclasses
import gc
import json
import random
import resource
import statistics
import sys
import time

import aiohttp

from bulrushrudder.benchmarks import report
from bulrushrudder.core import ids
from bulrushrudder.core import keys
from bulrushrudder.core import outcomes
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.lifecycle import retries
from bulrushrudder.standins import entry_path
from bulrushrudder.standins import faulty_engine
from bulrushrudder.state import servers
from bulrushrudder.state import sessions

KEY = 'brk_benchmark'
STREAMS = 100
TOKENS_A_STREAM = 400
ROUNDS = 5
MANY_STREAMS = 1000
FAULTY_REQUESTS = 1000
FAULTY_TOKENS = 16
CHANCES = faulty_engine.FaultProbabilities(crash=0.004, reset=0.02, full=0.02)
CONCURRENT = 40
ORPHAN_TRIALS = 10
END_S = 30.0


def document():
    """Return a document with one account, model and route."""
    account = types.ClientAccount(
        ids.AccountId('acme'), 1e9, 10**9, 1.0, (keys.digest(KEY),)
    )
    route = types.Route(
        id=ids.RouteId('drafts'),
        method='POST',
        path='/v1/completions',
        target=types.ModelTarget(ids.ModelId('drafting'), 2.0, 0.1),
        urgency=types.Urgency.INTERACTIVE,
        accounts=(),
        open=False,
        repeatable=True,
        patience_s=30.0,
    )
    return dataclasses.replace(
        lookups.EMPTY_DOCUMENT,
        version=1,
        accounts=(account,),
        models=(types.Model(ids.ModelId('drafting'), 4096),),
        routes=(route,),
    )


class CheapEngine(asyncio.Protocol):
    """Answers prefills at once and sends one token a stream a tick."""

    def __init__(self, server):
        self._server = server
        self._transport = None
        self._data = b''

    def connection_made(self, transport):
        """Take a connection."""
        self._transport = transport

    def data_received(self, data):
        """Answer an order once it is whole."""
        self._data += data
        head, found, body = self._data.partition(b'\r\n\r\n')
        if not found or not body.endswith(b'}'):
            return
        self._data = b''
        order = json.loads(body)
        if b'/prefill' in head[:20]:
            self._reply(
                {
                    'attempt': order['attempt'],
                    'handle': 'kv',
                    'prompt_tokens': 4,
                }
            )
        elif b'/decode' in head[:20]:
            self._server.take(self._transport, order)
        else:
            self._reply({'attempts': order.get('attempts', []), 'vms': []})

    def _reply(self, content):
        body = json.dumps(content).encode()
        self._transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
        )


class CheapEngines:
    """All streams of a cheap engine."""

    def __init__(self):
        self.streams = []

    async def start(self, stack):
        """Listen and return the port."""
        loop = asyncio.get_running_loop()
        found = await loop.create_server(
            lambda: CheapEngine(self), '127.0.0.1', 0
        )
        stack.callback(found.close)
        return found.sockets[0].getsockname()[1]

    def take(self, transport, order):
        """Start a stream."""
        transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        self.streams.append((transport, order['attempt']))

    def send_token(self, index):
        """Send one token on every stream."""
        for transport, attempt in self.streams:
            _send(transport, attempt, index, ', "text": "token "')

    def end(self, index):
        """End every stream."""
        for transport, attempt in self.streams:
            _send(transport, attempt, index, ', "finish_reason": "length"')
            transport.write(b'0\r\n\r\n')


def _send(transport, attempt, index, rest):
    if transport.is_closing():
        return
    line = f'data: {{"attempt": "{attempt}", "index": {index}{rest}}}\n\n'
    transport.write(b'%x\r\n%s\r\n' % (len(line), line.encode()))


class CheapCaller(asyncio.Protocol):
    """Asks for a stream and counts the bytes that come."""

    def __init__(self, tokens):
        body = json.dumps(
            {'prompt': 'a prompt', 'max_tokens': tokens, 'stream': True}
        )
        self._order = (
            'POST /v1/completions HTTP/1.1\r\nHost: entry\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()
        self.done = asyncio.get_running_loop().create_future()
        self._tail = b''

    def connection_made(self, transport):
        """Send the order."""
        transport.write(self._order)

    def data_received(self, data):
        """Look for the end of the stream."""
        self._tail = (self._tail + data)[-32:]
        if b'[DONE]' in self._tail and not self.done.done():
            self.done.set_result(None)


async def _cheap_path(stack):
    path = entry_path.EntryPath(stack, document())
    engines = CheapEngines()
    port = await engines.start(stack)
    for kind in ('prefill', 'decode'):
        server = servers.BackendServer(
            id=ids.ServerId(kind),
            incarnation=1,
            kind=kind,
            host='127.0.0.1',
            port=port,
            zone=ids.Zone('a'),
            serves=('drafting',),
            places=MANY_STREAMS * 2,
            memory_tokens=10**9,
            link_tokens_per_s=1e9,
            checks_fencing=True,
        )
        path.log.commit(servers.JoinServer(server))
    url = await path.add_entry('vm1')
    return engines, int(url.rsplit(':', 1)[1])


async def _open_streams(stack, engines, port, count, tokens):
    loop = asyncio.get_running_loop()
    callers = []
    for _ in range(count):
        transport, caller = await loop.create_connection(
            lambda: CheapCaller(tokens), '127.0.0.1', port
        )
        stack.callback(transport.abort)
        callers.append(caller)
    while len(engines.streams) < count:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    return callers


async def measure_relay():
    """Return token events a second of one core's time."""
    async with contextlib.AsyncExitStack() as stack:
        engines, port = await _cheap_path(stack)
        callers = await _open_streams(
            stack, engines, port, STREAMS, TOKENS_A_STREAM
        )
        began_s = time.process_time()
        for index in range(TOKENS_A_STREAM):
            engines.send_token(index)
            await asyncio.sleep(0)
            await asyncio.sleep(0.001)
        engines.end(TOKENS_A_STREAM)
        async with asyncio.timeout(END_S):
            await asyncio.gather(*(caller.done for caller in callers))
        spent_s = time.process_time() - began_s
    return STREAMS * TOKENS_A_STREAM / spent_s


async def measure_memory():
    """Return kilobytes of resident memory that one more stream takes."""
    async with contextlib.AsyncExitStack() as stack:
        engines, port = await _cheap_path(stack)
        await _open_streams(stack, engines, port, 50, 1000)
        gc.collect()
        before = _resident_kb()
        await _open_streams(stack, engines, port, MANY_STREAMS + 50, 1000)
        for index in range(10):
            engines.send_token(index)
            await asyncio.sleep(0.05)
        gc.collect()
        after = _resident_kb()
    return (after - before) / MANY_STREAMS


def _resident_kb():
    with open('/proc/self/statm') as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / 1024


async def measure_faults(resume):
    """Return how 1,000 requests end while engines fail.

    :param resume: whether failed attempts are tried again.
    :returns: whole, incomplete but said so, and lost requests.
    """
    async with contextlib.AsyncExitStack() as stack:
        path = entry_path.EntryPath(stack, document())
        for number in range(4):
            await path.add_engine(f'p{number}', 'prefill', number)
            await path.add_engine(
                f'd{number}',
                'decode',
                100 + number,
                fault_probabilities=CHANCES,
            )
        url = await path.add_entry('vm1')
        if not resume:
            path.services[0].retries = retries.RetryPolicy(0.0)
            path.services[0].retries.decide = _never
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        limit = asyncio.Semaphore(CONCURRENT)

        async def one(number):
            async with limit:
                return await entry_path.stream(
                    session, url, KEY, f'prompt {number}', FAULTY_TOKENS
                )

        seen = await asyncio.gather(*map(one, range(FAULTY_REQUESTS)))
    whole = sum(found.whole for found in seen)
    said = sum(found.ended and not found.whole for found in seen)
    crashes = sum(e.crashes for e in path.engines_by_id.values())
    return whole, said, len(seen) - whole - said, crashes


def _never(failures, now_s, deadline_s, jitter):
    return retries.GiveUp(failures[-1])


async def measure_orphans():
    """Return seconds from a closed session to the last freed attempt."""
    found = []
    for trial in range(ORPHAN_TRIALS):
        async with contextlib.AsyncExitStack() as stack:
            path = entry_path.EntryPath(stack, document())
            await path.add_engine('p0', 'prefill', trial)
            for number in range(3):
                await path.add_engine(
                    f'd{number}', 'decode', trial, token_s=0.05
                )
            urls = [await path.add_entry(f'vm{n}') for n in range(3)]
            await asyncio.sleep(0.3)
            found.append(await _orphan_time_s(stack, path, urls[0]))
    return statistics.median(found), max(found)


async def _orphan_time_s(stack, path, url):
    session = await stack.enter_async_context(aiohttp.ClientSession())
    calls = [
        asyncio.create_task(
            entry_path.stream(session, url, KEY, f'prompt {n}', 1000)
        )
        for n in range(9)
    ]
    await asyncio.sleep(0.3)
    dead = path.services[0]
    dead.canceller.cancel = lambda server, attempt: None
    dead.retries.decide = _never
    began_s = time.monotonic()
    path.log.commit(sessions.CloseSession(dead.owner))
    while path.held_attempts():
        await asyncio.sleep(0.005)
    spent_s = time.monotonic() - began_s
    for call in calls:
        call.cancel()
    return spent_s


def brown_out(budget):
    """Return orders to engines a request while a third of them fail."""
    policy = retries.RetryPolicy()
    if not budget:
        policy = retries.RetryPolicy(100.0)
    randomness = random.Random(7)
    orders = 0
    requests = 10000
    for number in range(requests):
        now_s = number / 100
        policy.record_admission()
        failures = []
        while True:
            orders += 1
            if randomness.random() >= 1 / 3:
                break
            failures.append(outcomes.Reason.BACKEND_FAILED)
            decided = policy.decide(failures, now_s, 1e9, 0.5)
            if isinstance(decided, retries.GiveUp):
                break
    return orders / requests


def main(given=None):
    """Measure and print everything."""
    arguments = report.arguments(__doc__, given)
    relay = [asyncio.run(measure_relay()) for _ in range(ROUNDS)]
    memory = asyncio.run(measure_memory())
    ends = [
        ('resumed' if resume else 'not resumed', *found)
        for resume in (True, False)
        for found in [asyncio.run(measure_faults(resume))]
    ]
    orphans = asyncio.run(measure_orphans())
    column = report.Column
    tables = [
        report.Table(
            'relay on one core, callers and engine in the same process',
            (column('median', 'events/s'), column('least', 'events/s')),
            ((statistics.median(relay), min(relay)),),
        ),
        report.Table(
            f'memory of {MANY_STREAMS} streams, with their other ends',
            (column('a stream', 'kB'),),
            ((memory,),),
        ),
        report.Table(
            f'ends of {FAULTY_REQUESTS} requests while engines fail',
            (
                column('failed attempts'),
                column('whole'),
                column('incomplete'),
                column('lost'),
                column('crashes'),
            ),
            tuple(ends),
        ),
        report.Table(
            'orphans freed after a session closed',
            (column('median', 's'), column('max', 's')),
            (orphans,),
        ),
        report.Table(
            'orders a request while a third of the orders fail',
            (column('with budget'), column('without')),
            ((brown_out(True), brown_out(False)),),
        ),
    ]
    report.show(tables, arguments.json)


if __name__ == '__main__':
    main(sys.argv[1:])
