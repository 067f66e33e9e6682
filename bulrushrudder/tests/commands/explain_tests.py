import asyncio
import contextlib
import pathlib
import pickle
import tempfile
import unittest
from unittest import mock

from bulrushrudder.commands import errors
from bulrushrudder.placement import crossing
from bulrushrudder.standins import deployment
from bulrushrudder.tests.builders import command_line
from bulrushrudder.tests.builders import zone_world

DOCUMENT = """\
version: 1
accounts:
  - id: consultants
    rate: 1000
    burst: 10000
    keys: ["{digest}"]
  - id: others
    rate: 10
    burst: 100
models:
  - id: drafting
    max_output_tokens: 64
routes:
  - id: drafts
    path: /v1/completions
    model: drafting
    accounts: [consultants]
  - id: pages
    path: /pages
    method: GET
    service: portal
"""
REPORT_TIMEOUT_S = 5.0


class ExplainTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.running = await deployment.start(self.stack, DOCUMENT)
        settings = self.running.settings
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.secret = pathlib.Path(folder) / 'operators.secret'
        self.secret.write_bytes(settings.secrets.operators)
        self.control = str(settings.control.operators)

    async def explain(self, account, target, *words):
        return await command_line.run(
            'explain', self.control, self.secret, account, target, 100, *words
        )

    async def test_names_servers_of_a_model_and_a_service(self):
        for target, expected in (
            ('drafts', ['decode', 'prefill']),
            ('/v1/completions', ['decode', 'prefill']),
            ('drafting', ['decode', 'prefill']),
            ('pages', ['service']),
        ):
            with self.subTest(target):
                ended = await self.explain('consultants', target, '--json')
                self.assertEqual((ended.code, ended.problems), (0, ''))
                (pool,) = ended.content['pools']
                self.assertEqual(pool['fate'], 'granted')
                kinds = [c['kind'] for c in pool['candidates'] if c['chosen']]
                self.assertEqual(sorted(kinds), expected)
        ended = await self.explain('consultants', 'drafts', '--vm', 'vm1')
        self.assertIn('drafting: granted', ended.output)

    async def test_unknown_account_route_and_vm_are_errors(self):
        for words, problem in (
            (('nobody', 'drafts'), "no account 'nobody'"),
            (('consultants', 'none'), "no route or model 'none'"),
            (('consultants', 'drafts', '--vm', 'vm9'), "no VM 'vm9' has"),
        ):
            with self.subTest(problem):
                ended = await self.explain(*words)
                self.assertEqual(ended.code, errors.ExitCode.REFUSED)
                self.assertIn(problem, ended.problems)

    async def test_names_rejection_at_admission(self):
        for words, reason in (
            (('others', 'drafts'), 'ROUTE_FORBIDDEN'),
            (('others', 'pages'), 'COST_ABOVE_BURST'),
        ):
            with self.subTest(reason):
                ended = await self.explain(*words)
                self.assertIn(f'rejected at once: {reason}', ended.output)

    async def test_needs_the_operators_secret(self):
        self.secret.write_text('another secret')
        ended = await self.explain('consultants', 'drafts')
        self.assertEqual(ended.code, errors.ExitCode.REFUSED)
        self.assertIn('secret is wrong', ended.problems)

    async def test_process_that_does_not_answer_is_an_error(self):
        explainer = self.running.entry._explainer
        with mock.patch.object(explainer, 'explain', return_value=None):
            ended = await self.explain('consultants', 'drafts')
        self.assertEqual(ended.code, errors.ExitCode.UNREACHABLE)
        self.assertIn('did not answer within 3 s', ended.problems)

    async def test_changes_nothing_in_the_entry(self):
        host = self.running.entry.coordinator_client._host
        await self.complete()
        hosted = host._hosted_by_model['drafting']
        # Releases of the call may still come.
        await asyncio.sleep(0.5)
        # The process reports and clears these counts each second.
        hosted.coordinator.take_rank_counts()
        before = pickle.dumps((hosted.coordinator, hosted.last_request_s))
        await self.explain('consultants', 'drafts')
        after = pickle.dumps((hosted.coordinator, hosted.last_request_s))
        self.assertEqual(before, after)

    async def complete(self):
        async with self.running.session.post(
            f'{self.running.callers_url}/v1/completions',
            json={'prompt': 'a prompt', 'max_tokens': 3},
            headers=self.running.headers,
        ) as response:
            self.assertEqual(response.status, 200)


class PricedDeploymentTests(unittest.IsolatedAsyncioTestCase):
    """With prices, calls must be served and reported as without."""

    async def test_serves_and_follows_the_word_of_the_coordinator(self):
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(
                mock.patch.object(
                    crossing, 'of_bounds', return_value=zone_world.COSTS
                )
            )
            running = await deployment.start(stack, DOCUMENT)
            # The stand-in of the service answers with 201.
            for method, path, content, status in (
                (
                    'POST',
                    '/v1/completions',
                    {'prompt': 'a', 'max_tokens': 3},
                    200,
                ),
                ('GET', '/pages', None, 201),
            ):
                async with running.session.request(
                    method,
                    f'{running.callers_url}{path}',
                    json=content,
                    headers=running.headers,
                ) as response:
                    self.assertEqual(response.status, status)
            spread = running.entry._zone_reports.spread('portal')
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                while spread.rule(loop.time()).value != 'plan':
                    await asyncio.sleep(0.05)


if __name__ == '__main__':
    unittest.main()
