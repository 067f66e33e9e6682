"""Measures the request path of one entry process on one core.

Callers and engine run in the same process, so the figures include their
cost. They do as little work as possible to keep it small.
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

CALLER_KEY = 'brk_benchmark'
STREAMS = 100
TOKENS_PER_STREAM = 400
RELAY_ROUNDS = 5
MEMORY_STREAMS = 1000
FAULTY_REQUESTS = 1000
FAULTY_TOKENS = 16
FAULT_PROBABILITIES = faulty_engine.FaultProbabilities(
    crash=0.004, reset=0.02, full=0.02
)
MAX_CONCURRENT_REQUESTS = 40
ORPHAN_TRIALS = 10
STREAM_END_TIMEOUT_S = 30.0


def document():
    """Return a document with one account, model and route."""
    account = types.ClientAccount(
        ids.AccountId('acme'), 1e9, 10**9, 1.0, (keys.digest(CALLER_KEY),)
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


class MinimalEngineConnection(asyncio.Protocol):
    """Responds to prefills at once and hands decodes to the engine."""

    def __init__(self, engine):
        self._engine = engine
        self._transport = None
        self._data = b''

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def data_received(self, data):
        """Respond to an order once its body is complete."""
        self._data += data
        head, separator, body = self._data.partition(b'\r\n\r\n')
        if not separator or not body.endswith(b'}'):
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
            self._engine.start_stream(self._transport, order)
        else:
            self._reply({'attempts': order.get('attempts', []), 'vms': []})

    def _reply(self, content):
        body = json.dumps(content).encode()
        self._transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
        )


class MinimalEngine:
    """An engine that sends tokens on all its streams when told to."""

    def __init__(self):
        self.streams = []

    async def start(self, stack):
        """Listen until the stack closes and return the port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: MinimalEngineConnection(self), '127.0.0.1', 0
        )
        stack.callback(server.close)
        return server.sockets[0].getsockname()[1]

    def start_stream(self, transport, order):
        """Start a stream."""
        transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        self.streams.append((transport, order['attempt']))

    def send_token(self, index):
        """Send one token on every stream."""
        for transport, attempt in self.streams:
            _send_event(transport, attempt, index, ', "text": "token "')

    def end(self, index):
        """End every stream."""
        for transport, attempt in self.streams:
            _send_event(
                transport, attempt, index, ', "finish_reason": "length"'
            )
            transport.write(b'0\r\n\r\n')


def _send_event(transport, attempt, index, rest):
    if transport.is_closing():
        return
    line = f'data: {{"attempt": "{attempt}", "index": {index}{rest}}}\n\n'
    transport.write(b'%x\r\n%s\r\n' % (len(line), line.encode()))


class MinimalCaller(asyncio.Protocol):
    """Requests a stream and resolves `done` at its end."""

    def __init__(self, tokens):
        body = json.dumps(
            {'prompt': 'a prompt', 'max_tokens': tokens, 'stream': True}
        )
        self._order = (
            'POST /v1/completions HTTP/1.1\r\nHost: entry\r\n'
            f'Authorization: Bearer {CALLER_KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        ).encode()
        self.done = asyncio.get_running_loop().create_future()
        self._tail = b''

    def connection_made(self, transport):
        """Send the request."""
        transport.write(self._order)

    def data_received(self, data):
        """Look for the end of the stream."""
        self._tail = (self._tail + data)[-32:]
        if b'[DONE]' in self._tail and not self.done.done():
            self.done.set_result(None)


async def _start_minimal_path(stack):
    path = entry_path.EntryPath(stack, document())
    engine = MinimalEngine()
    port = await engine.start(stack)
    for kind in ('prefill', 'decode'):
        server = servers.BackendServer(
            id=ids.ServerId(kind),
            incarnation=1,
            kind=kind,
            host='127.0.0.1',
            port=port,
            zone=ids.Zone('a'),
            serves=('drafting',),
            places=MEMORY_STREAMS * 2,
            memory_tokens=10**9,
            link_tokens_per_s=1e9,
            checks_fencing=True,
        )
        path.log.commit(servers.JoinServer(server))
    url = await path.add_entry('vm1')
    return engine, int(url.rsplit(':', 1)[1])


async def _open_streams(stack, engine, port, count, tokens):
    loop = asyncio.get_running_loop()
    callers = []
    for _ in range(count):
        transport, caller = await loop.create_connection(
            lambda: MinimalCaller(tokens), '127.0.0.1', port
        )
        stack.callback(transport.abort)
        callers.append(caller)
    while len(engine.streams) < count:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    return callers


async def measure_relay():
    """Return token events relayed per second of processor time."""
    async with contextlib.AsyncExitStack() as stack:
        engine, port = await _start_minimal_path(stack)
        callers = await _open_streams(
            stack, engine, port, STREAMS, TOKENS_PER_STREAM
        )
        started_s = time.process_time()
        for index in range(TOKENS_PER_STREAM):
            engine.send_token(index)
            await asyncio.sleep(0)
            await asyncio.sleep(0.001)
        engine.end(TOKENS_PER_STREAM)
        async with asyncio.timeout(STREAM_END_TIMEOUT_S):
            await asyncio.gather(*(caller.done for caller in callers))
        elapsed_s = time.process_time() - started_s
    return STREAMS * TOKENS_PER_STREAM / elapsed_s


async def measure_memory():
    """Return the resident memory of one stream, in kilobytes."""
    async with contextlib.AsyncExitStack() as stack:
        engine, port = await _start_minimal_path(stack)
        await _open_streams(stack, engine, port, 50, 1000)
        gc.collect()
        before = _resident_kb()
        await _open_streams(stack, engine, port, MEMORY_STREAMS + 50, 1000)
        for index in range(10):
            engine.send_token(index)
            await asyncio.sleep(0.05)
        gc.collect()
        after = _resident_kb()
    return (after - before) / MEMORY_STREAMS


def _resident_kb():
    with open('/proc/self/statm') as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / 1024


async def measure_faults(resume):
    """Return the outcomes of requests while engines fail.

    :param resume: whether failed attempts are retried.
    :returns: the numbers of complete requests, of incomplete requests
        whose response reported it, of lost requests and of crashes.
    """
    async with contextlib.AsyncExitStack() as stack:
        path = entry_path.EntryPath(stack, document())
        for number in range(4):
            await path.add_engine(f'p{number}', 'prefill', number)
            await path.add_engine(
                f'd{number}',
                'decode',
                100 + number,
                fault_probabilities=FAULT_PROBABILITIES,
            )
        url = await path.add_entry('vm1')
        if not resume:
            path.services[0].retries = retries.RetryPolicy(
                terms=retries.Terms(ratio=0.0)
            )
            path.services[0].retries.decide = _never_retry
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def send_one(number):
            async with slots:
                return await entry_path.stream(
                    session, url, CALLER_KEY, f'prompt {number}', FAULTY_TOKENS
                )

        replies = await asyncio.gather(*map(send_one, range(FAULTY_REQUESTS)))
    whole = sum(reply.whole for reply in replies)
    incomplete = sum(reply.ended and not reply.whole for reply in replies)
    crashes = sum(engine.crashes for engine in path.engines_by_id.values())
    return whole, incomplete, len(replies) - whole - incomplete, crashes


def _never_retry(failures, *terms):
    return retries.GiveUp(failures[-1])


async def measure_orphans():
    """Return seconds from a closed session to its last freed attempt.

    :returns: median and maximum over all trials.
    """
    times_s = []
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
            times_s.append(await _orphan_time_s(stack, path, urls[0]))
    return statistics.median(times_s), max(times_s)


async def _orphan_time_s(stack, path, url):
    session = await stack.enter_async_context(aiohttp.ClientSession())
    calls = [
        asyncio.create_task(
            entry_path.stream(session, url, CALLER_KEY, f'prompt {n}', 1000)
        )
        for n in range(9)
    ]
    await asyncio.sleep(0.3)
    closed = path.services[0]
    closed.canceller.cancel = lambda server, attempt: None
    closed.retries.decide = _never_retry
    started_s = time.monotonic()
    path.log.commit(sessions.CloseSession(closed.owner))
    while path.held_attempts():
        await asyncio.sleep(0.005)
    elapsed_s = time.monotonic() - started_s
    for call in calls:
        call.cancel()
    return elapsed_s


def measure_brownout(budget):
    """Return orders to engines per request while a third of them fail.

    :param budget: whether the retry budget limits retries.
    """
    policy = retries.RetryPolicy()
    if not budget:
        policy = retries.RetryPolicy(terms=retries.Terms(ratio=100.0))
    rng = random.Random(7)
    orders = 0
    requests = 10000
    for number in range(requests):
        now_s = number / 100
        policy.record_admission(now_s)
        failures = []
        while True:
            orders += 1
            if rng.random() >= 1 / 3:
                break
            failures.append(outcomes.Reason.BACKEND_FAILED)
            decision = policy.decide(failures, now_s, 1e9, 0.5)
            if isinstance(decision, retries.GiveUp):
                break
    return orders / requests


def main(arguments=None):
    """Measure and print everything."""
    options = report.parse_arguments(__doc__, arguments)
    relay = [asyncio.run(measure_relay()) for _ in range(RELAY_ROUNDS)]
    memory = asyncio.run(measure_memory())
    ends = [
        ('resumed' if resume else 'not resumed', *counts)
        for resume in (True, False)
        for counts in [asyncio.run(measure_faults(resume))]
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
            f'memory of {MEMORY_STREAMS} streams, with callers and engine',
            (column('a stream', 'kB'),),
            ((memory,),),
        ),
        report.Table(
            f'outcomes of {FAULTY_REQUESTS} requests while engines fail',
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
            'orphaned attempts freed after a session closed',
            (column('median', 's'), column('max', 's')),
            (orphans,),
        ),
        report.Table(
            'orders per request while a third of the orders fail',
            (column('with budget'), column('without')),
            ((measure_brownout(True), measure_brownout(False)),),
        ),
    ]
    report.show(tables, options.json)


if __name__ == '__main__':
    main(sys.argv[1:])
