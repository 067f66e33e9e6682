import asyncio
import contextlib
import dataclasses
import unittest

from bulrushrudder.config import settings
from bulrushrudder.core import ids
from bulrushrudder.entry import process
from bulrushrudder.standins import deployment
from bulrushrudder.standins import engine
from bulrushrudder.tests.builders import settings as builders

DOCUMENT = """\
version: 1
accounts:
  - id: consultants
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
"""
START_TIMEOUT_S = 20.0
PROMPT = 'a prompt'
TOKENS = 3


async def start_second_entry(stack, first):
    """Start an entry process on a second VM of a running deployment.

    :returns: the URL for callers.
    """
    listeners = settings.EntrySettings(*builders.addresses(4))
    second_settings = dataclasses.replace(
        first.settings, vm=ids.VmId('second'), entry=listeners
    )
    entry = process.EntryProcess(second_settings)
    await entry.start(stack)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(START_TIMEOUT_S):
        while not (
            len(first.entry.view.state.sessions.by_vm) == 2
            and entry.view.is_fresh(loop.time())
            and entry.view.index >= first.entry.view.index
        ):
            await asyncio.sleep(0.02)
    return f'http://{listeners.callers}'


async def complete(running, url):
    """Send one completion request.

    :returns: status and text of the answer.
    """
    async with running.session.post(
        f'{url}/v1/completions',
        json={'prompt': PROMPT, 'max_tokens': TOKENS},
        headers=running.headers,
    ) as response:
        content = await response.json()
        return response.status, content['choices'][0]['text']


class TwoEntriesTests(unittest.IsolatedAsyncioTestCase):
    async def test_each_entry_serves_regardless_of_role_host(self):
        async with contextlib.AsyncExitStack() as stack:
            running = await deployment.start(stack, DOCUMENT)
            urls = (
                running.callers_url,
                await start_second_entry(stack, running),
            )
            expected = ''.join(engine.expected_tokens(PROMPT, TOKENS))
            async with asyncio.timeout(START_TIMEOUT_S):
                for url in urls:
                    answer = await complete(running, url)
                    self.assertEqual(answer, (200, expected))
