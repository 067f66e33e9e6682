"""Starts control, entry and stand-in processes on the loopback interface
and sends them a bounded load.

Usage: python scripts/local_fleet.py [--controls N] [--entries N]
    [--requests N]
"""

import argparse
import asyncio
import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile

import aiohttp
import yaml

from bulrushrudder.core import keys
from bulrushrudder.standins import engine
from bulrushrudder.standins import fleet
from bulrushrudder.utils import ports

DOCUMENT = """\
version: 1
accounts:
  - id: consultants
    rate: 100000
    burst: 1000000
    keys: ["{digest}"]
models:
  - id: drafting
    max_output_tokens: 64
routes:
  - id: drafts
    path: /v1/completions
    model: drafting
  - id: filings
    path: /filings
    service: portal
    repeatable: false
"""
START_S = 20.0
CONCURRENT = 16
TOKENS = 8


def addresses(names):
    found = zip(names, ports.free_ports(len(names)), strict=True)
    return {
        name: {'host': ports.LOOPBACK, 'port': port} for name, port in found
    }


def write_settings(folder, name, entry, control, controls):
    content = {
        'vm': name,
        'zone': 'a',
        'controls': controls,
        'secrets': {
            kind: str(folder / f'{kind}.secret')
            for kind in ('cluster', 'operators', 'backends')
        },
    }
    if entry:
        content['entry'] = entry
    if control:
        content['control'] = {**control, 'data_folder': f'data-{name}'}
    path = folder / f'{name}.yaml'
    path.write_text(yaml.safe_dump(content))
    return path


def start(stack, command, path):
    process = subprocess.Popen(
        [sys.executable, '-m', 'bulrushrudder', command, str(path)],
        stderr=open(path.with_suffix('.log'), 'wb'),
    )
    stack.callback(stop, process)
    return process


def stop(process):
    if process.poll() is not None:
        return
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(10)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


async def wait_ready(session, url):
    async with asyncio.timeout(START_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.get(f'{url}/-/ready') as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.1)


async def submit(session, controls, secret, key):
    headers = {'Authorization': f'Bearer {secret}', 'X-Operator': 'script'}
    source = DOCUMENT.format(digest=keys.digest(key)).encode()
    async with asyncio.timeout(START_S):
        for step in ('trial', 'production'):
            await put(session, controls, step, source, headers)


async def put(session, controls, step, source, headers):
    number = 0
    while True:
        control = controls[number % len(controls)]
        number += 1
        url = f'http://{control["host"]}:{control["port"]}/documents'
        with contextlib.suppress(aiohttp.ClientError, OSError):
            if step == 'trial':
                sent = session.post(
                    f'{url}/trial', data=source, headers=headers
                )
            else:
                async with session.get(
                    f'{url}/trial', headers=headers
                ) as response:
                    digest = (await response.json())[-1]['digest']
                content = {'version': 1, 'digest': digest}
                sent = session.post(
                    f'{url}/production', json=content, headers=headers
                )
            async with sent as response:
                if response.status == 200:
                    return
        await asyncio.sleep(0.2)


async def load(session, entries, key, requests):
    limit = asyncio.Semaphore(CONCURRENT)
    headers = {'Authorization': f'Bearer {key}'}

    async def one(number):
        prompt = f'prompt {number}'
        entry = entries[number % len(entries)]
        url = f'http://{entry["host"]}:{entry["port"]}/v1/completions'
        content = {'prompt': prompt, 'max_tokens': TOKENS}
        async with (
            limit,
            session.post(url, json=content, headers=headers) as response,
        ):
            answer = await response.json()
        expected = ''.join(engine.expected_tokens(prompt, TOKENS))
        if response.status != 200:
            return False
        return answer['choices'][0]['text'] == expected

    return sum(await asyncio.gather(*map(one, range(requests))))


async def main(arguments):
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        secrets = {
            kind: keys.new_key()
            for kind in ('cluster', 'operators', 'backends')
        }
        for kind, secret in secrets.items():
            (folder / f'{kind}.secret').write_text(secret)
        controls = [
            addresses(['operators', 'metrics', 'inner'])
            for _ in range(arguments.controls)
        ]
        inner = [control['inner'] for control in controls]
        entries = [
            addresses(['callers', 'backends', 'metrics', 'inner'])
            for _ in range(arguments.entries)
        ]
        for number, control in enumerate(controls):
            name = f'control{number + 1}'
            path = write_settings(folder, name, None, control, inner)
            start(stack, 'control', path)
        for number, entry in enumerate(entries):
            name = f'vm{number + 1}'
            path = write_settings(folder, name, entry, None, inner)
            start(stack, 'entry', path)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        key = keys.new_key()
        operators = [control['operators'] for control in controls]
        await submit(session, operators, secrets['operators'], key)
        callers = [entry['callers'] for entry in entries]
        for entry in callers:
            await wait_ready(
                session, f'http://{entry["host"]}:{entry["port"]}'
            )
        backends = entries[0]['backends']
        await fleet.start(
            stack,
            session,
            f'http://{backends["host"]}:{backends["port"]}',
            secrets['backends'],
            'drafting',
            'portal',
        )
        await asyncio.sleep(1.5)
        whole = await load(session, callers, key, arguments.requests)
        print(f'{whole} of {arguments.requests} answers whole')
        if whole != arguments.requests:
            for path in sorted(folder.glob('*.log')):
                print(path.name, path.read_text()[-2000:])
            return 1
        return 0


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--controls', type=int, default=1)
    parser.add_argument('--entries', type=int, default=3)
    parser.add_argument('--requests', type=int, default=200)
    sys.exit(asyncio.run(main(parser.parse_args())))
