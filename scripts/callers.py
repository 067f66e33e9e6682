"""Callers that check each response against their request."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import random

import aiohttp

from bulrushrudder.standins import engine

OUTPUT_TOKENS = 12
RESPONSE_TIMEOUT_S = 30.0
REQUEST_PAUSE_S = 0.05
MAX_FILING_ATTEMPTS = 60


@dataclasses.dataclass(slots=True)
class CallerRecord:
    """Results of the requests of all callers.

    :ivar counts: number of requests by result.
    :ivar problems: a message for each incorrect response.
    :ivar result_by_filing: result of each filing.
    :ivar tokens: prompt and output tokens of complete responses.
    """

    counts: collections.Counter
    problems: list[str]
    result_by_filing: dict[str, str]
    tokens: int = 0


def new_record():
    """Return an empty record."""
    return CallerRecord(collections.Counter(), [], {})


class Callers:
    """Sends drafts and filings until `stopping` is set.

    :param urls: base URLs of the callers listeners of the entries.
    :param key: a key of the callers' client account.
    :param seed: seed of the choice of an entry for each request.
    """

    def __init__(self, session, urls, key, seed):
        self._session = session
        self._urls = urls
        self._headers = {'Authorization': f'Bearer {key}'}
        self._random = random.Random(seed)
        self.record = new_record()
        self.stopping = asyncio.Event()

    async def send_drafts(self, name):
        """Send drafts one after another, every second one as a stream."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            await self.send_draft(f'prompt {name} {number}', number % 2 == 0)
            await asyncio.sleep(REQUEST_PAUSE_S)

    async def send_filings(self, name):
        """Send filings one after another, each with retries."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            await self._send_filing(f'{name}-{number}')
            await asyncio.sleep(REQUEST_PAUSE_S)

    async def send_draft(self, prompt, stream):
        """Send one draft and check the response."""
        content = {
            'prompt': prompt,
            'max_tokens': OUTPUT_TOKENS,
            'stream': stream,
        }
        url = self._random.choice(self._urls)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                async with self._session.post(
                    f'{url}/v1/completions',
                    json=content,
                    headers=self._headers,
                ) as response:
                    body = await response.text()
        except TimeoutError:
            self.record.counts['timed out'] += 1
            return
        except (aiohttp.ClientError, OSError):
            self.record.counts['connection lost'] += 1
            return
        self._check_response(prompt, stream, response.status, body)

    def _check_response(self, prompt, stream, status, body):
        if status != 200:
            code = json.loads(body)['error']['type']
            self.record.counts[f'refused {code}'] += 1
            return
        whole, text = _parse_stream(body) if stream else _parse_body(body)
        expected = ''.join(engine.expected_tokens(prompt, OUTPUT_TOKENS))
        if whole and text == expected:
            self.record.counts['whole'] += 1
            prompt_bytes = len(prompt.encode())
            prompt_tokens = -(-prompt_bytes // engine.BYTES_PER_TOKEN)
            self.record.tokens += prompt_tokens + OUTPUT_TOKENS
        elif not whole and expected.startswith(text):
            self.record.counts['visibly incomplete'] += 1
        else:
            self.record.problems.append(
                f'{prompt}: expected {expected!r}, got {text!r}'
            )

    async def _send_filing(self, filing):
        for _ in range(MAX_FILING_ATTEMPTS):
            result = await self._try_filing(filing)
            if result is not None:
                self.record.result_by_filing[filing] = result
                self.record.counts[f'filing {result}'] += 1
                return
            await asyncio.sleep(4 * REQUEST_PAUSE_S)
        self.record.result_by_filing[filing] = 'given up'
        self.record.counts['filing given up'] += 1

    async def _try_filing(self, filing):
        url = self._random.choice(self._urls)
        headers = {**self._headers, 'Idempotency-Key': filing}
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
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


def _parse_body(body):
    choice = json.loads(body)['choices'][0]
    return True, choice['text']


def _parse_stream(body):
    texts = []
    for line in body.splitlines():
        if not line.startswith('data: {'):
            continue
        item = json.loads(line[6:])
        if 'choices' in item:
            texts.append(item['choices'][0]['text'])
    return body.endswith('data: [DONE]\n\n'), ''.join(texts)
