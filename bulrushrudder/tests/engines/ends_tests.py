"""Ends of responses that do not say whether the response is complete."""

import asyncio
import contextlib
import unittest

from bulrushrudder.engines import connection_pool
from bulrushrudder.engines import network
from bulrushrudder.engines import responses
from bulrushrudder.platform import calls
from bulrushrudder.tests.builders import relays
from bulrushrudder.tests.builders import runners

TIMEOUT_S = 3.0
UPLOAD_BYTES = 4 * 1024 * 1024
UPLOAD = (
    b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % UPLOAD_BYTES
    + bytes(UPLOAD_BYTES)
)
GET = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
OK = b'HTTP/1.1 200 OK\r\n'
WITHOUT_LENGTH = OK + b'\r\nhalf'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n'
INVALID_STATUSES = ('000', '099', '600', '999')


async def stay_silent(writer):
    await asyncio.sleep(2 * TIMEOUT_S)


def answer(status, headers=()):
    return runners.answer(b'body', f'{status} X', headers, attempt='')


class EndsCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = await self.enterAsyncContext(contextlib.AsyncExitStack())
        self.pool = None

    async def open_pool(self, server):
        self.pool = connection_pool.ConnectionPool(
            'attempt-id', network_=await self.network(server)
        )
        self.stack.callback(self.pool.close)

    async def network(self, server):
        return network.DirectNetwork()

    async def call(self, *steps, data=GET, reads_bodies=True, times=1):
        """Return the last part and the body of the last of some calls."""
        self.runner = runners.Runner(lambda call: steps, reads_bodies)
        await self.runner.start(self.stack)
        await self.open_pool(self.runner.server())
        for _ in range(times):
            parts = await self.parts_of(data)
        chunks = [p for p in parts if isinstance(p, responses.BodyChunk)]
        return parts[-1], b''.join(chunk.data for chunk in chunks)

    async def parts_of(self, data):
        parts = []
        server = self.runner.server()
        async with asyncio.timeout(TIMEOUT_S):
            async with self.pool.call(server, responses.Call(data)) as opened:
                while not parts or not _is_last(parts[-1]):
                    parts.append(await opened.unwrap().part())
        return parts

    async def check_problem(self, *steps, **terms):
        last, _ = await self.call(*steps, **terms)
        self.assertIsInstance(last, responses.Problem)
        self.assertTrue(last.sent)
        return last

    async def check_complete(self, *steps, body=b'body', **terms):
        self.assertEqual(
            await self.call(*steps, **terms), (responses.End(), body)
        )

    async def check_early(self, *steps):
        await self.check_problem(*steps, data=UPLOAD, reads_bodies=False)

    async def pause(self, writer):
        await asyncio.sleep(0.2)


class EndsTests(EndsCase):
    # Guards against a part of a response that passes for the whole.

    async def test_end_without_length_during_upload_then_reset_fails(self):
        await self.check_early(
            WITHOUT_LENGTH, runners.shut_down, runners.reset_soon
        )

    async def test_end_without_length_during_upload_then_silence_fails(self):
        await self.check_early(WITHOUT_LENGTH, runners.shut_down, stay_silent)

    async def test_end_before_head_during_upload_fails_at_once(self):
        for begin in (b'', OK, b'HTTP/1.1 103 Hints\r\n\r\n'):
            with self.subTest(begin):
                await self.check_early(begin, runners.shut_down, stay_silent)

    async def test_end_without_length_after_upload_is_complete(self):
        last, body = await self.call(
            WITHOUT_LENGTH, runners.shut_down, stay_silent, data=UPLOAD
        )
        self.assertEqual((last, body), (responses.End(True), b'half'))

    async def test_other_coding_than_chunked_cut_by_the_end_fails(self):
        await self.check_problem(
            OK + b'Transfer-Encoding: gzip\r\n\r\nhalf', runners.shut_down
        )

    # Guards against a call that is taken for the rest of an earlier one,
    # and against an upload that is cut off although it was answered.

    async def test_early_end_with_length_is_complete_and_upload_goes_on(self):
        await self.check_complete(
            answer(200),
            self.pause,
            self.read_body,
            data=UPLOAD,
            reads_bodies=False,
        )
        async with asyncio.timeout(TIMEOUT_S):
            while not self.runner.bodies:
                await asyncio.sleep(0.01)
        self.assertEqual(len(self.runner.bodies[0]), UPLOAD_BYTES)
        await self.parts_of(GET)
        self.assertEqual(self.runner.connections, 2)

    async def read_body(self, writer):
        if 'Content-Length' in self.runner.calls[-1].headers:
            await self.runner.read_body(writer)

    # Guards against statuses that no client understands.

    async def test_invalid_status_is_no_response(self):
        for status in INVALID_STATUSES:
            for sent in (
                answer(status),
                answer(status, [('Not-Executed', '1')]),
                WITHOUT_LENGTH.replace(b'200', status.encode()),
                CHUNKED.replace(b'200', status.encode()) + b'\r\n',
            ):
                with self.subTest(sent):
                    last = await self.check_problem(sent, runners.shut_down)
                    invalid = responses.ProblemKind.INVALID
                    self.assertIs(last.kind, invalid)
                    failed = calls.failure_from(last)
                    self.assertTrue(failed.sent)

    async def test_switch_of_protocols_is_no_response(self):
        last = await self.check_problem(
            b'HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n'
        )
        # Otherwise it counts as a lost path to the server.
        self.assertIs(last.kind, responses.ProblemKind.INVALID)

    async def test_interim_response_without_final_one_fails(self):
        interim = b'HTTP/1.1 103 Hints\r\n\r\n'
        for sent in (interim, interim[:-2], interim + OK):
            await self.check_problem(sent, runners.shut_down)

    # Guards against an end in the wrong place, which lets the rest of a
    # response precede the next one.

    async def test_body_where_none_may_be_ends_use_of_connection(self):
        for status in (204, 304):
            sent = answer(status)
            for steps in ([sent], [sent[:-4], self.pause, sent[-4:]]):
                await self.check_complete(*steps, body=b'', times=2)
                self.assertEqual(self.runner.connections, 2)

    async def test_response_without_body_keeps_connection(self):
        empty = b'HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n'
        for sent in (empty, b'HTTP/1.1 304 X\r\n\r\n'):
            await self.check_complete(sent, body=b'', times=2)
            self.assertEqual(self.runner.connections, 1)

    async def test_trailers_end_a_response_and_state_nothing(self):
        trailers = b'X-T: x\r\nKeep-Alive: timeout=0\r\n\r\n'
        await self.check_complete(CHUNKED + trailers, times=2)
        self.assertEqual(self.runner.connections, 1)

    async def test_cut_trailers_fail(self):
        for trailers in (b'', b'X-T', b'X-T: x\r\n', b'Content-Length: 9'):
            await self.check_problem(CHUNKED + trailers, runners.shut_down)


class RelayedEndsTests(EndsCase):
    # Guards against the same if the connection goes through another VM.

    async def network(self, server):
        view = relays.view(server)
        await relays.Vm('relay', view).start(self.stack)
        user = await relays.Vm('user', view).start(self.stack)
        user.cut.how = lambda server: ConnectionRefusedError()
        return user.network

    async def test_end_without_length_during_upload_fails(self):
        for rest in (runners.reset_soon, stay_silent):
            await self.check_early(WITHOUT_LENGTH, runners.shut_down, rest)

    async def test_end_before_head_during_upload_fails_at_once(self):
        await self.check_early(OK, runners.shut_down, stay_silent)

    async def test_end_without_length_after_upload_is_complete(self):
        last, body = await self.call(
            WITHOUT_LENGTH, runners.shut_down, stay_silent, data=UPLOAD
        )
        self.assertEqual((last, body), (responses.End(True), b'half'))

    async def test_connection_of_early_end_with_length_is_not_reused(self):
        await self.check_complete(
            answer(200), stay_silent, data=UPLOAD, reads_bodies=False
        )
        await self.parts_of(GET)
        self.assertEqual(self.runner.connections, 2)

    async def test_connection_is_reused_after_whole_calls(self):
        await self.check_complete(answer(200), data=UPLOAD, times=5)
        self.assertEqual(self.runner.connections, 1)


def _is_last(part):
    return isinstance(part, responses.End | responses.Problem)
