"""Shows the whole path in one process."""

import asyncio
import contextlib
import pathlib
import tempfile

import aiohttp

from bulrushrudder.commands import errors
from bulrushrudder.config import settings
from bulrushrudder.control import process as control_process
from bulrushrudder.core import ids
from bulrushrudder.core import keys
from bulrushrudder.documents import types
from bulrushrudder.entry import process as entry_process
from bulrushrudder.events import log
from bulrushrudder.standins import engine
from bulrushrudder.standins import fleet
from bulrushrudder.utils import ports

START_S = 10.0
PROMPT = 'Draft the functional analysis of the Croatian distributor.'
TOKENS = 8

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
        asyncio.run(_demo())


async def _demo():
    with tempfile.TemporaryDirectory() as folder:
        found = _settings(pathlib.Path(folder))
        async with contextlib.AsyncExitStack() as stack:
            await _show(stack, found)


async def _show(stack, found):
    key = keys.new_key()
    session = await stack.enter_async_context(aiohttp.ClientSession())
    await control_process.start(stack, found)
    entry = entry_process.Entry(found)
    await entry.start(stack)
    standins = await fleet.start(
        stack,
        session,
        f'http://{found.entry.backends}',
        found.secrets.backends.decode(),
        'drafting',
        'portal',
    )
    await _submit(session, found, key)
    await _wait_until_ready(entry)
    callers = f'http://{found.entry.callers}'
    await _complete(session, callers, key)
    await _stream(session, callers, key)
    await _file(session, callers, key)
    await _refused(session, callers)
    print(f'prefill runs: {standins.prefill.runs}')
    print(f'decode runs:  {standins.decode.runs}')
    await _counters(session, found)
    await entry.stop()


def _settings(folder):
    addresses = [
        settings.Address(ports.LOOPBACK, port) for port in ports.free_ports(7)
    ]
    callers, backends, metrics, inner, operators, shown, control = addresses
    return settings.Settings(
        vm=ids.VmId('demo'),
        zone=ids.Zone('a'),
        environment=types.Environment.PRODUCTION,
        entry=settings.EntrySettings(callers, backends, metrics, inner),
        control=settings.ControlSettings(operators, shown, control, folder),
        controls=(control,),
        secrets=settings.Secrets(
            cluster=keys.new_key().encode(),
            operators=keys.new_key().encode(),
            backends=keys.new_key().encode(),
        ),
    )


async def _submit(session, found, key):
    source = _DOCUMENT.format(digest=keys.digest(key)).encode()
    url = f'http://{found.control.operators}/documents'
    secret = found.secrets.operators.decode()
    headers = {'Authorization': f'Bearer {secret}', 'X-Operator': 'demo'}
    async with session.post(
        f'{url}/trial', data=source, headers=headers
    ) as response:
        print(f'submitted to trial: {await response.json()}')
    async with session.get(f'{url}/trial', headers=headers) as response:
        digest = (await response.json())[-1]['digest']
    content = {'version': 1, 'digest': digest}
    async with session.post(
        f'{url}/production', json=content, headers=headers
    ) as response:
        print(f'promoted to production: {await response.json()}')


async def _wait_until_ready(entry):
    async with asyncio.timeout(START_S):
        while not _is_ready(entry):
            await asyncio.sleep(0.02)


def _is_ready(entry):
    now_s = asyncio.get_running_loop().time()
    state = entry.view.state
    return (
        entry.view.fresh(now_s)
        and entry.view.lookups.routes_by_path
        and len(state.servers.by_id) == 3
        and state.sessions.by_vm
    )


def _content(stream):
    return {'prompt': PROMPT, 'max_tokens': TOKENS, 'stream': stream}


async def _complete(session, callers, key):
    async with session.post(
        f'{callers}/v1/completions',
        json=_content(False),
        headers={'Authorization': f'Bearer {key}'},
    ) as response:
        content = await response.json()
    text = content['choices'][0]['text']
    print(f'completion: {response.status} {text!r}')
    _check(text == ''.join(engine.expected_tokens(PROMPT, TOKENS)))


async def _stream(session, callers, key):
    async with session.post(
        f'{callers}/v1/completions',
        json=_content(True),
        headers={'Authorization': f'Bearer {key}'},
    ) as response:
        content = await response.text()
    print(f'stream: {response.status}, {content.count("data: ")} events')
    _check(content.endswith('data: [DONE]\n\n'))


async def _file(session, callers, key):
    async with session.post(
        f'{callers}/filings',
        json={'group': 'demo'},
        headers={'Authorization': f'Bearer {key}'},
    ) as response:
        print(f'filing: {response.status} {await response.json()}')
    _check(response.status == 201)


async def _refused(session, callers):
    async with session.post(
        f'{callers}/v1/completions', json=_content(False)
    ) as response:
        print(f'without a key: {response.status} {await response.text()}')
    _check(response.status == 401)


async def _counters(session, found):
    url = f'http://{found.entry.metrics}/metrics'
    async with session.get(url) as response:
        text = await response.text()
    for line in text.splitlines():
        if '_total{' in line:
            print(line)


def _check(as_expected):
    if not as_expected:
        raise errors.CommandError(
            errors.ExitCode.FAILED, 'the answer is not what was expected'
        )
