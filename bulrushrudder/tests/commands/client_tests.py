"""Responses of a control process that an operator's command must not take."""

import asyncio
import contextlib
import pathlib
import tempfile
import unittest

from bulrushrudder.commands import client
from bulrushrudder.commands import errors
from bulrushrudder.tests.builders import runners


class ClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.secret = pathlib.Path(folder) / 'secret'
        self.secret.write_text('secret')

    async def call(self, *steps):
        runner = runners.Runner(lambda call: steps)
        await runner.start(self.stack)
        operator = client.Client(f'127.0.0.1:{runner.port}', self.secret)
        return await asyncio.to_thread(operator.call, 'GET', '/')

    async def check_no_response(self, *steps):
        with self.assertRaises(errors.CommandError) as raised:
            await self.call(*steps)
        unreachable = errors.ExitCode.UNREACHABLE
        self.assertEqual(raised.exception.code, unreachable)

    async def test_whole_response_is_returned(self):
        reply = await self.call(runners.answer(b'{}'))
        self.assertEqual((reply.status, reply.content), (200, {}))

    # Guards against commands that report success which nobody confirmed.

    async def test_invalid_status_is_no_response(self):
        for status in ('000', '099', '101', '600', '999'):
            with self.subTest(status):
                await self.check_no_response(
                    runners.answer(b'{}', status=f'{status} X')
                )

    async def test_body_that_ends_with_its_connection_is_no_response(self):
        head = runners.stream_head_without_length()
        for end in (runners.shut_down, runners.reset_soon):
            await self.check_no_response(head + b'{}', end)
