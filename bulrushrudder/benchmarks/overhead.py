"""Measures the time that the system adds to a streamed answer.

Each request is sent twice in one run, in turn: through the system, and
straight to the stand-ins (prefill, then decode). Caller, system and
stand-ins share one loop, so that the added time includes the system's
share of a core as well as its own waiting.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import statistics
import sys

from bulrushrudder.benchmarks import report
from bulrushrudder.engines import wire
from bulrushrudder.standins import deployment

REQUESTS = 2000
WARM_UP_REQUESTS = 50
TOKENS = 16
TOKEN_S = 0.002
PREFILL_S = 0.005
PROMPT = 'Draft the functional analysis of the Croatian distributor. '
PROMPT_REPEATS = 40
MS_A_SECOND = 1000.0

_DOCUMENT = """\
version: 1
accounts:
  - id: benchmark
    rate: 1000000
    burst: 1000000000
    keys: ["{digest}"]
models:
  - id: drafting
    max_output_tokens: 64
routes:
  - id: drafts
    path: /v1/completions
    model: drafting
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """When the tokens of an answer came, in seconds from its request."""

    tokens_s: tuple[float, ...]

    @property
    def first_s(self):
        """Return seconds to the first token."""
        return self.tokens_s[0]

    @property
    def between_s(self):
        """Return the mean of seconds between tokens."""
        return (self.tokens_s[-1] - self.tokens_s[0]) / (TOKENS - 1)


def main(arguments=None):
    """Run the benchmark and print a table.

    :param arguments: words after the program's name.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.add_argument('--requests', type=int, default=REQUESTS)
    found = parser.parse_args(arguments)
    straight, through = asyncio.run(_measure(found.requests))
    report.show([_table(straight, through)], found.json)


async def _measure(requests):
    async with contextlib.AsyncExitStack() as stack:
        running = await deployment.start(
            stack, _DOCUMENT, token_s=TOKEN_S, prefill_s=PREFILL_S
        )
        ways = _Straight(running), _Through(running)
        for way in ways:
            for number in range(WARM_UP_REQUESTS):
                await way.run(f'warm-up {number}')
        pairs = [await _pair(ways, number) for number in range(requests)]
        await running.entry.stop()
    straight, through = zip(*pairs, strict=True)
    return straight, through


async def _pair(ways, number):
    """Run one request both ways, the first one changing in turn."""
    order = ways if number % 2 == 0 else ways[::-1]
    timing_by_way = {way: await way.run(str(number)) for way in order}
    return tuple(timing_by_way[way] for way in ways)


class _Straight:
    """Runs requests straight on the stand-ins."""

    def __init__(self, running):
        self._session = running.session
        servers = running.entry.view.state.servers.by_id.values()
        self._server_by_kind = {server.kind: server for server in servers}

    async def run(self, mark):
        """Run one request and return its Timing."""
        start_s = _now_s()
        order = self._prefill_order(mark)
        async with self._session.post(
            self._url('prefill'), json=order.model_dump()
        ) as response:
            handle = (await response.json())['handle']
        order = self._decode_order(order, handle)
        async with self._session.post(
            self._url('decode'), json=order.model_dump()
        ) as response:
            return await _read(response, start_s)

    def _url(self, kind):
        server = self._server_by_kind[kind]
        return f'http://{server.host}:{server.port}/{kind}'

    def _prefill_order(self, mark):
        return wire.PrefillOrder(
            attempt=f'straight-{mark}',
            vm='benchmark',
            incarnation=1,
            model=deployment.MODEL,
            prompt=_prompt(mark),
            produced=[],
            priority=0,
        )

    def _decode_order(self, order, handle):
        prefill = self._server_by_kind['prefill']
        return wire.DecodeOrder(
            **order.model_dump(),
            kv_host=prefill.host,
            kv_port=prefill.port,
            kv_handle=handle,
            max_tokens=TOKENS,
        )


class _Through:
    """Runs requests through the system."""

    def __init__(self, running):
        self._running = running

    async def run(self, mark):
        """Run one request and return its Timing."""
        start_s = _now_s()
        content = {
            'prompt': _prompt(mark),
            'max_tokens': TOKENS,
            'stream': True,
        }
        async with self._running.session.post(
            f'{self._running.callers_url}/v1/completions',
            json=content,
            headers=self._running.headers,
        ) as response:
            return await _read(response, start_s)


async def _read(response, start_s):
    """Return the Timing of a stream with one event a token."""
    tokens_s = []
    async for line in response.content:
        if line.startswith(b'data: ') and len(tokens_s) < TOKENS:
            tokens_s.append(_now_s() - start_s)
    if response.status != 200 or len(tokens_s) < TOKENS:
        raise AssertionError(f'status {response.status}, short answer')
    return Timing(tuple(tokens_s))


def _prompt(mark):
    return mark + PROMPT * PROMPT_REPEATS


def _now_s():
    return asyncio.get_running_loop().time()


def _table(straight, through):
    measures = (
        ('first token', [t.first_s for t in straight]),
        ('between tokens', [t.between_s for t in straight]),
    )
    through_by_name = {
        'first token': [t.first_s for t in through],
        'between tokens': [t.between_s for t in through],
    }
    rows = [
        row
        for name, found in measures
        for row in _rows(name, found, through_by_name[name])
    ]
    columns = (
        report.Column('measure'),
        report.Column('percentile'),
        report.Column('straight', 'ms'),
        report.Column('through', 'ms'),
        report.Column('added', 'ms'),
    )
    title = (
        f'{len(through)} requests each way, {TOKENS} tokens, '
        f'{len(_prompt(""))} bytes of prompt'
    )
    return report.Table(title, columns, tuple(rows))


def _rows(name, straight, through):
    for percentile in (50, 99):
        first = _percentile(straight, percentile)
        second = _percentile(through, percentile)
        yield name, percentile, first, second, second - first


def _percentile(values_s, percentile):
    """Return a percentile in milliseconds."""
    cuts = statistics.quantiles(values_s, n=100, method='inclusive')
    return cuts[percentile - 1] * MS_A_SECOND


if __name__ == '__main__':
    sys.exit(main())
