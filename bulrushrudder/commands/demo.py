"""The demo command: the whole request path in one process."""

import contextlib

from bulrushrudder.commands import errors
from bulrushrudder.events import log
from bulrushrudder.standins import deployment
from bulrushrudder.standins import engine
from bulrushrudder.utils import event_loop

PROMPT = 'Draft the functional analysis of the Croatian distributor.'
OUTPUT_TOKENS = 8

_DOCUMENT = """\
version: 1
accounts:
  - id: demo-consultants
    rate: 1000
    burst: 10000
    keys: ["{digest}"]
models:
  - id: drafting
    max_output_tokens: 64
routes:
  - id: drafts
    path: /v1/completions
    model: drafting
    urgency: deferred
  - id: filings
    path: /filings
    service: portal
    repeatable: false
"""


def demo():
    """Serve a few requests with stand-in backend servers, then stop."""
    with log.human_handler(level='WARNING').applicationbound():
        event_loop.run(_demo())


async def _demo():
    async with contextlib.AsyncExitStack() as stack:
        running = await deployment.start(stack, _DOCUMENT)
        print(f'document in production: index {running.index} of the log')
        await _show_completion(running)
        await _show_stream(running)
        await _show_filing(running)
        await _show_refusal(running)
        print(f'prefill runs: {running.fleet.prefill.runs}')
        print(f'decode runs:  {running.fleet.decode.runs}')
        await _show_counters(running)
        await running.entry.stop()


def _content(stream):
    return {'prompt': PROMPT, 'max_tokens': OUTPUT_TOKENS, 'stream': stream}


async def _show_completion(running):
    async with running.session.post(
        f'{running.callers_url}/v1/completions',
        json=_content(False),
        headers=running.headers,
    ) as response:
        content = await response.json()
    text = content['choices'][0]['text']
    print(f'completion: {response.status} {text!r}')
    _check(text == ''.join(engine.expected_tokens(PROMPT, OUTPUT_TOKENS)))


async def _show_stream(running):
    async with running.session.post(
        f'{running.callers_url}/v1/completions',
        json=_content(True),
        headers=running.headers,
    ) as response:
        content = await response.text()
    print(f'stream: {response.status}, {content.count("data: ")} events')
    _check(content.endswith('data: [DONE]\n\n'))


async def _show_filing(running):
    async with running.session.post(
        f'{running.callers_url}/filings',
        json={'group': 'demo'},
        headers=running.headers,
    ) as response:
        print(f'filing: {response.status} {await response.json()}')
    _check(response.status == 201)


async def _show_refusal(running):
    async with running.session.post(
        f'{running.callers_url}/v1/completions', json=_content(False)
    ) as response:
        print(f'without a key: {response.status} {await response.text()}')
    _check(response.status == 401)


async def _show_counters(running):
    url = f'http://{running.settings.entry.metrics}/metrics'
    async with running.session.get(url) as response:
        text = await response.text()
    for line in text.splitlines():
        if '_total{' in line:
            print(line)


def _check(as_expected):
    if not as_expected:
        raise errors.CommandError(
            errors.ExitCode.FAILED,
            'demo: the response differs from the expected one',
        )
