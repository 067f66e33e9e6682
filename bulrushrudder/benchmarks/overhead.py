"""Measures the latency that the system adds to a streamed response.

Each request is sent twice: through the system, and directly to the
stand-ins (prefill, then decode); which comes first alternates. Caller,
system and stand-ins share one event loop, so the added latency includes
the system's processor time as well as its waits.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import statistics
import sys

from bulrushrudder.benchmarks import report
from bulrushrudder.core import units
from bulrushrudder.engines import wire
from bulrushrudder.standins import deployment

DEFAULT_REQUESTS = 2000
WARM_UP_REQUESTS = 50
TOKENS = 16
TOKEN_INTERVAL_S = 0.002
PREFILL_DURATION_S = 0.005
PROMPT_SENTENCE = 'Draft the functional analysis of the Croatian distributor. '
PROMPT_REPEATS = 40

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
    """Arrival times of a response's tokens, in seconds from its request."""

    token_times_s: tuple[float, ...]

    @property
    def first_token_s(self):
        """Return the seconds to the first token."""
        return self.token_times_s[0]

    @property
    def mean_interval_s(self):
        """Return the mean seconds between tokens."""
        return (self.token_times_s[-1] - self.token_times_s[0]) / (TOKENS - 1)


def main(arguments=None):
    """Run the benchmark and print a table.

    :param arguments: command-line arguments without the program name.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.add_argument('--requests', type=int, default=DEFAULT_REQUESTS)
    options = parser.parse_args(arguments)
    direct, routed = asyncio.run(_measure(options.requests))
    report.show([_table(direct, routed)], options.json)


async def _measure(requests):
    async with contextlib.AsyncExitStack() as stack:
        running = await deployment.start(
            stack,
            _DOCUMENT,
            token_s=TOKEN_INTERVAL_S,
            prefill_s=PREFILL_DURATION_S,
        )
        paths = _DirectPath(running), _RoutedPath(running)
        for path in paths:
            for number in range(WARM_UP_REQUESTS):
                await path.run(f'warm-up {number}')
        pairs = [await _run_both(paths, number) for number in range(requests)]
        await running.entry.stop()
    direct, routed = zip(*pairs, strict=True)
    return direct, routed


async def _run_both(paths, number):
    """Run one request on both paths; which is first alternates."""
    order = paths if number % 2 == 0 else paths[::-1]
    timing_by_path = {path: await path.run(str(number)) for path in order}
    return tuple(timing_by_path[path] for path in paths)


class _DirectPath:
    """Runs requests directly on the stand-ins."""

    def __init__(self, running):
        self._session = running.session
        servers = running.entry.view.state.servers.by_id.values()
        self._server_by_kind = {server.kind: server for server in servers}

    async def run(self, label):
        """Run one request and return its Timing."""
        start_s = _now_s()
        order = self._prefill_order(label)
        async with self._session.post(
            self._url('prefill'), json=order.model_dump()
        ) as response:
            handle = (await response.json())['handle']
        order = self._decode_order(order, handle)
        async with self._session.post(
            self._url('decode'), json=order.model_dump()
        ) as response:
            return await _read_timing(response, start_s)

    def _url(self, kind):
        server = self._server_by_kind[kind]
        return f'http://{server.host}:{server.port}/{kind}'

    def _prefill_order(self, label):
        return wire.PrefillOrder(
            attempt=f'straight-{label}',
            vm='benchmark',
            incarnation=1,
            model=deployment.MODEL,
            prompt=_prompt(label),
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


class _RoutedPath:
    """Runs requests through the system."""

    def __init__(self, running):
        self._running = running

    async def run(self, label):
        """Run one request and return its Timing."""
        start_s = _now_s()
        content = {
            'prompt': _prompt(label),
            'max_tokens': TOKENS,
            'stream': True,
        }
        async with self._running.session.post(
            f'{self._running.callers_url}/v1/completions',
            json=content,
            headers=self._running.headers,
        ) as response:
            return await _read_timing(response, start_s)


async def _read_timing(response, start_s):
    """Return the Timing of a stream with one event per token."""
    token_times_s = []
    async for line in response.content:
        if line.startswith(b'data: ') and len(token_times_s) < TOKENS:
            token_times_s.append(_now_s() - start_s)
    if response.status != 200 or len(token_times_s) < TOKENS:
        raise AssertionError(
            f'got status {response.status} or too few tokens; '
            f'expected status 200 and {TOKENS} tokens'
        )
    return Timing(tuple(token_times_s))


def _prompt(label):
    return label + PROMPT_SENTENCE * PROMPT_REPEATS


def _now_s():
    return asyncio.get_running_loop().time()


def _table(direct, routed):
    measures = (
        ('first token', [t.first_token_s for t in direct]),
        ('between tokens', [t.mean_interval_s for t in direct]),
    )
    routed_by_name = {
        'first token': [t.first_token_s for t in routed],
        'between tokens': [t.mean_interval_s for t in routed],
    }
    rows = [
        row
        for name, values_s in measures
        for row in _percentile_rows(name, values_s, routed_by_name[name])
    ]
    columns = (
        report.Column('measure'),
        report.Column('percentile'),
        report.Column('straight', 'ms'),
        report.Column('through', 'ms'),
        report.Column('added', 'ms'),
    )
    title = (
        f'{len(routed)} requests on each path, {TOKENS} tokens, '
        f'{len(_prompt(""))} bytes of prompt'
    )
    return report.Table(title, columns, tuple(rows))


def _percentile_rows(name, direct, routed):
    for percentile in (50, 99):
        direct_ms = _percentile(direct, percentile)
        routed_ms = _percentile(routed, percentile)
        yield name, percentile, direct_ms, routed_ms, routed_ms - direct_ms


def _percentile(values_s, percentile):
    """Return a percentile in milliseconds."""
    cut_points_s = statistics.quantiles(values_s, n=100, method='inclusive')
    return cut_points_s[percentile - 1] * units.MS_PER_SECOND


if __name__ == '__main__':
    sys.exit(main())
