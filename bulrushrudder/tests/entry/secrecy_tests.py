import contextlib
import io
import logging
import unittest

from bulrushrudder.events import log
from bulrushrudder.standins import deployment

DOCUMENT = """\
version: 1
accounts:
  - id: acme
    rate: 1000
    burst: 10000
    keys: ["{digest}"]
models:
  - id: drafting
    max_output_tokens: 8
routes:
  - {{id: drafts, path: /drafts, model: drafting}}
  - {{id: filings, path: /filings, service: portal, repeatable: false}}
"""
PROMPT = 'confidential-hearing'
WRONG_KEY = 'brk_wrong-confidential'


class SecrecyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.output = io.StringIO()
        for make in (log.json_handler, log.human_handler):
            handler = make(self.output, 'DEBUG')
            handler.bubble = True
            self.stack.enter_context(handler.contextbound())
        other = logging.StreamHandler(self.output)
        logging.getLogger().addHandler(other)
        self.addCleanup(logging.getLogger().removeHandler, other)

    async def call(self, running, path, content, key):
        async with running.session.post(
            f'{running.callers_url}{path}?token={PROMPT}',
            json=content,
            headers={
                'Authorization': f'Bearer {key}',
                'Idempotency-Key': f'id-{key[-5:]}',
            },
        ) as response:
            await response.read()
            return response.status

    async def metrics(self, running):
        texts = []
        for section in (running.settings.entry, running.settings.control):
            url = f'http://{section.metrics}/metrics'
            async with running.session.get(url) as response:
                texts.append(await response.text())
        return ''.join(texts)

    async def test_logs_and_metrics_contain_no_keys_prompts_or_secrets(self):
        running = await deployment.start(self.stack, DOCUMENT)
        order = {'prompt': PROMPT, 'max_tokens': 2}
        statuses = [
            await self.call(running, path, content, key)
            for path, content, key in (
                ('/drafts', order, running.key),
                ('/drafts', order, WRONG_KEY),
                ('/drafts', {'prompt': [PROMPT]}, running.key),
                ('/drafts', {**order, 'model': PROMPT}, running.key),
                (f'/{PROMPT}', order, running.key),
                ('/filings', {'filing': PROMPT}, running.key),
                ('/filings', {'filing': PROMPT}, WRONG_KEY),
            )
        ]
        self.assertEqual(statuses, [200, 401, 400, 404, 404, 201, 401])
        shown = self.output.getvalue() + await self.metrics(running)
        self.assertIn('request refused', shown)
        self.assertIn('bulrushrudder_answers_total', shown)
        held = running.settings.secrets
        hidden = (
            running.key,
            WRONG_KEY,
            PROMPT,
            held.cluster.decode(),
            held.operators.decode(),
            held.backends.decode(),
        )
        for secret in hidden:
            self.assertNotIn(secret, shown)
