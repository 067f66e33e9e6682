"""Callers that check what they receive against what they asked."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import random

import aiohttp

from bulrushrudder.standins import engine

TOKENS = 12
ANSWER_S = 30.0
PAUSE_S = 0.05
MAX_TRIES = 60


@dataclasses.dataclass(slots=True)
class Seen:
    """What the callers saw.

    :ivar counts: endings of drafts, by kind.
    :ivar tokens: prompt and output tokens of whole answers.
    :ivar problems: broken promises, as sentences.
    """

    counts: collections.Counter
    problems: list[str]
    filed: dict[str, str]
    tokens: int = 0


def nothing_seen():
    """Return an empty record."""
    return Seen(collections.Counter(), [], {})


class Callers:
    """Sends drafts and filings until told to stop.

    :param urls: the entries' callers listeners.
    :param key: the caller's key.
    """

    def __init__(self, session, urls, key, seed):
        self._session = session
        self._urls = urls
        self._headers = {'Authorization': f'Bearer {key}'}
        self._random = random.Random(seed)
        self.seen = nothing_seen()
        self.stopping = asyncio.Event()

    async def draft_until_stopped(self, name):
        """Send one draft after the other."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            await self.draft(f'prompt {name} {number}', number % 2 == 0)
            await asyncio.sleep(PAUSE_S)

    async def file_until_stopped(self, name):
        """Send one filing after the other, each until it is answered."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            await self._file(f'{name}-{number}')
            await asyncio.sleep(PAUSE_S)

    async def draft(self, prompt, stream):
        """Send one draft and judge its answer."""
        content = {'prompt': prompt, 'max_tokens': TOKENS, 'stream': stream}
        url = self._random.choice(self._urls)
        try:
            async with asyncio.timeout(ANSWER_S):
                async with self._session.post(
                    f'{url}/v1/completions',
                    json=content,
                    headers=self._headers,
                ) as response:
                    body = await response.text()
        except TimeoutError:
            self.seen.counts['no answer'] += 1
            return
        except (aiohttp.ClientError, OSError):
            self.seen.counts['connection lost'] += 1
            return
        self._judge(prompt, stream, response.status, body)

    def _judge(self, prompt, stream, status, body):
        if status != 200:
            code = json.loads(body)['error']['type']
            self.seen.counts[f'refused {code}'] += 1
            return
        whole, text = _read_stream(body) if stream else _read_whole(body)
        expected = ''.join(engine.expected_tokens(prompt, TOKENS))
        if whole and text == expected:
            self.seen.counts['whole'] += 1
            prompt_bytes = len(prompt.encode())
            prompt_tokens = -(-prompt_bytes // engine.BYTES_PER_TOKEN)
            self.seen.tokens += prompt_tokens + TOKENS
        elif not whole and expected.startswith(text):
            self.seen.counts['visibly incomplete'] += 1
        else:
            self.seen.problems.append(f'{prompt}: wrong answer {text!r}')

    async def _file(self, filing):
        for _ in range(MAX_TRIES):
            ending = await self._file_once(filing)
            if ending is not None:
                self.seen.filed[filing] = ending
                self.seen.counts[f'filing {ending}'] += 1
                return
            await asyncio.sleep(4 * PAUSE_S)
        self.seen.filed[filing] = 'given up'
        self.seen.counts['filing given up'] += 1

    async def _file_once(self, filing):
        url = self._random.choice(self._urls)
        headers = {**self._headers, 'Idempotency-Key': filing}
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_S):
                async with self._session.post(
                    f'{url}/filings', data=filing, headers=headers
                ) as response:
                    body = await response.text()
            if response.status == 201:
                return 'answered'
            error = json.loads(body)['error']
            if error['type'] in ('outcome_unknown', 'answer_not_kept'):
                return error['type']
        return None


def _read_whole(body):
    choice = json.loads(body)['choices'][0]
    return True, choice['text']


def _read_stream(body):
    texts = []
    for line in body.splitlines():
        if not line.startswith('data: {'):
            continue
        item = json.loads(line[6:])
        if 'choices' in item:
            texts.append(item['choices'][0]['text'])
    return body.endswith('data: [DONE]\n\n'), ''.join(texts)
