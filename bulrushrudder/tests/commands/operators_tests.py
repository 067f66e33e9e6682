import asyncio
import contextlib
import pathlib
import tempfile
import unittest

import aiohttp

from bulrushrudder.commands import errors
from bulrushrudder.control import operator_api
from bulrushrudder.control import process
from bulrushrudder.tests.builders import command_line
from bulrushrudder.tests.builders import settings

DOCUMENT = """\
version: {version}
accounts:
  - id: acme    # {remark}
    rate: {rate}
    burst: 100
routes: []
"""
START_TIMEOUT_S = 20.0


class OperatorsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.settings = settings.solo(self.folder / 'data')
        self.running = await process.start(self.stack, self.settings)
        self.control = str(self.settings.control.operators)
        self.secret = self.folder / 'operators.secret'
        self.secret.write_text(f'{settings.OPERATORS_SECRET}\n')
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )

    async def call(self, method, path, data=None, **headers):
        """Call the operators' interface with the secret; retry on 503."""
        bearer = f'Bearer {settings.OPERATORS_SECRET}'
        sent = {'Authorization': bearer, **headers}
        url = f'http://{self.control}{path}'
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                async with self.session.request(
                    method, url, data=data, headers=sent
                ) as response:
                    content = await response.json()
                if response.status != 503:
                    return response.status, content
                await asyncio.sleep(0.05)


class CommandsTests(OperatorsTests):
    def document(self, name, version, rate=10, remark=''):
        file = self.folder / name
        file.write_text(
            DOCUMENT.format(version=version, rate=rate, remark=remark)
        )
        return file

    async def run_document_command(self, *words, operator=None):
        named = () if operator is None else ('--operator', operator)
        return await command_line.run(
            'document', *words, self.control, self.secret, *named
        )

    async def test_document_commands_from_submission_to_promotion(self):
        await self.call('GET', '/documents/trial')
        first = self.document('first.yaml', 1)
        other = self.document('other.yaml', 1, remark='other bytes')
        second = self.document('second.yaml', 2, rate=20)
        ended = await self.run_document_command(
            'submit', first, operator='00123'
        )
        self.assertEqual((ended.code, ended.problems), (0, ''))
        again, raced = await asyncio.gather(
            self.run_document_command('submit', first, operator='ana'),
            self.run_document_command('submit', other, operator='iva'),
        )
        self.assertIn('(accepted earlier)', again.output)
        self.assertEqual(raced.code, errors.ExitCode.REFUSED)
        self.assertIn('the accepted version was sent by 00123', raced.problems)
        early = await self.run_document_command('promote', second)
        self.assertEqual(early.code, errors.ExitCode.REFUSED)
        self.assertIn('trial never accepted', early.problems)
        for words in (('submit', second), ('promote', second)):
            ended = await self.run_document_command(*words)
            self.assertEqual((ended.code, ended.problems), (0, ''))
        back, shown, history, difference = await asyncio.gather(
            self.run_document_command('promote', first),
            self.run_document_command('show', 'production'),
            self.run_document_command('history', 'trial', '--json'),
            self.run_document_command('diff', first, 'production'),
        )
        self.assertEqual(back.code, errors.ExitCode.REFUSED)
        self.assertIn('rate: 20.0', shown.output)
        self.assertEqual(
            [(v['version'], v['operator']) for v in history.content],
            [(1, '00123'), (2, 'unnamed')],
        )
        self.assertEqual(
            difference.output, 'changed account acme\n  rate: 10.0 -> 20.0\n'
        )

    async def test_wait_returns_when_no_live_entry_is_behind(self):
        await self.call('GET', '/documents/trial')
        file = self.document('first.yaml', 1)
        waited = await self.run_document_command('submit', file, '--wait')
        self.assertEqual((waited.code, waited.problems), (0, ''))
        self.assertIn('in force on all live VMs', waited.output)
        status = await command_line.run('status', self.control, self.secret)
        self.assertEqual((status.code, status.problems), (0, ''))
        self.assertIn('can be lost now: no', status.output)
        self.assertIn('VMs that can be lost now: 0', status.output)

    async def test_zone_commands_evacuate_and_restore(self):
        await self.call('GET', '/documents/trial')

        async def zone(*words):
            ended = await command_line.run(
                'zone', *words, self.control, self.secret
            )
            self.assertEqual((ended.code, ended.problems), (0, ''))
            return ended.output

        self.assertIn('at index', await zone('evacuate', 'eu 1/a'))
        self.assertIn('nothing to change', await zone('evacuate', 'eu 1/a'))
        self.assertIn('evacuated: yes', await zone('show', 'eu 1/a'))
        status = await command_line.run('status', self.control, self.secret)
        self.assertIn('evacuated zones: eu 1/a', status.output)
        metrics = f'http://{self.settings.control.metrics}/metrics'
        async with self.session.get(metrics) as response:
            text = await response.text()
        self.assertIn('bulrushrudder_evacuated_zones 1', text)
        self.assertIn('at index', await zone('restore', 'eu 1/a'))
        self.assertIn('evacuated: no', await zone('show', 'eu 1/a'))
        ended = await command_line.run(
            'zone', 'evacuate', 'x' * 64, self.control, self.secret
        )
        self.assertEqual(ended.code, errors.ExitCode.USAGE)
        response = await self.call('POST', f'/zones/{"x" * 64}/evacuation')
        self.assertEqual(response[0], 422)

    async def test_errors_are_printed_without_traceback(self):
        bad = self.folder / 'bad.yaml'
        bad.write_text('version: one\n')
        (self.folder / 'wrong.secret').write_text('wrong')
        wrong, invalid, unreachable = await asyncio.gather(
            command_line.run(
                'status', self.control, self.folder / 'wrong.secret'
            ),
            self.run_document_command('submit', bad),
            command_line.run('status', '127.0.0.1:1', self.secret),
        )
        self.assertEqual(wrong.code, errors.ExitCode.REFUSED)
        self.assertIn('secret is wrong', wrong.problems)
        self.assertEqual(invalid.code, errors.ExitCode.INVALID_FILE)
        self.assertIn('bad.yaml:1: version: ', invalid.problems)
        self.assertEqual(unreachable.code, errors.ExitCode.UNREACHABLE)
        for ended in (wrong, invalid, unreachable):
            self.assertNotIn('Traceback', ended.problems)


class InterfaceTests(OperatorsTests):
    async def test_refuses_invalid_requests_and_names_the_problem(self):
        too_large = b'x' * (operator_api.MAX_DOCUMENT_BYTES + 1)
        digest = 'sha256:' + '0' * 64
        trial = ('POST', '/documents/trial')
        production = ('POST', '/documents/production')
        cases = (
            (*trial, b'version: [', 422),
            (*trial, b'version: 1\nversion: 2\n', 422),
            (*trial, b'\xff\xfe\x00', 422),
            (*trial, b'a: &a [*a]', 422),
            (*trial, too_large, 413),
            (*production, b'', 422),
            (*production, b'{"version": "1"', 422),
            (*production, b'[1]', 422),
            (*production, b'{"version": 0, "digest": "x"}', 422),
            (*production, b'{"version": 1, "digest": 5}', 422),
            (
                *production,
                f'{{"version": 1, "digest": "{digest}"}}'.encode(),
                409,
            ),
            ('GET', '/documents/staging', None, 404),
            ('GET', '/documents/staging/content', None, 404),
            ('GET', '/nowhere', None, 404),
            ('DELETE', '/documents/trial', None, 405),
        )
        for method, path, data, status in cases:
            with self.subTest(f'{path} {(data or b"")[:30]!r}'):
                response = await self.call(method, path, data)
                self.assertEqual(response[0], status)
                self.assertTrue(response[1]['problem'])
        response = await self.call(*trial, b'', **{'X-Operator': 'x' * 65})
        self.assertEqual(response[0], 422)

    async def test_every_path_requires_the_secret(self):
        given = ('', 'Bearer', 'Bearer wrong', 'Basic abc', 'Bearer \u00ff')
        paths = ('/status', '/documents/trial', '/nowhere')
        for value in given:
            for path in paths:
                with self.subTest(f'{value} {path}'):
                    async with self.session.get(
                        f'http://{self.control}{path}',
                        headers={'Authorization': value},
                    ) as response:
                        self.assertEqual(response.status, 401)
        metrics = f'http://{self.settings.control.metrics}/metrics'
        async with self.session.get(metrics) as response:
            text = await response.text()
        count = len(given) * len(paths)
        self.assertIn(f'bulrushrudder_operators_denied_total {count}', text)
