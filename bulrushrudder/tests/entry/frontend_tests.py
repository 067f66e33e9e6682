import asyncio
import contextlib
import json
import unittest

import logbook

from bulrushrudder.core import outcomes
from bulrushrudder.entry import bodies
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import frontends
from bulrushrudder.utils import ports

TIMEOUT_S = 20.0
AUTHORIZED = f'Authorization: Bearer {documents.CALLER_KEY}\r\n'
COMPLETIONS = 'POST /v1/completions'
FILINGS = 'POST /filings'


ROUTES = (documents.model_route(), documents.filing_route())


def http_request(method_and_path, headers='', body=b'', length=None):
    length = len(body) if length is None else length
    head = (
        f'{method_and_path} HTTP/1.1\r\nHost: h\r\n'
        f'Content-Length: {length}\r\n{headers}\r\n'
    )
    return head.encode('latin-1') + body


class FrontendTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, **limits):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        logs = logbook.TestHandler()
        stack.enter_context(logs.contextbound())
        self.port, self.services = await frontends.listen(
            stack, documents.document(routes=ROUTES), **limits
        )
        return logs

    async def exchange(self, data):
        """Send bytes and return head and body of the response.

        Both are empty if the connection was closed without a response.
        """
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                ports.LOOPBACK, self.port
            )
            writer.write(data)
            with contextlib.suppress(ConnectionError, EOFError):
                head = await reader.readuntil(b'\r\n\r\n')
                length = _length_of(head)
                body = await reader.readexactly(length)
                writer.close()
                return head.decode(), body
            return '', b''

    async def check(self, data, reason, status):
        head, body = await self.exchange(data)
        self.assertIn(f' {status} ', head.splitlines()[0])
        error = json.loads(body)['error']
        self.assertEqual(error['code'], int(reason))
        self.assertEqual(error['execution'], 'not run')
        return head, error

    async def test_refuses_invalid_calls_with_numbered_reason(self):
        await self.serve()
        reasons = outcomes.Reason
        malformed = reasons.MALFORMED_REQUEST
        cases = (
            (http_request('GET /nowhere'), reasons.ROUTE_UNKNOWN, 404),
            (
                http_request('OPTIONS /v1/completions'),
                reasons.ROUTE_UNKNOWN,
                404,
            ),
            (http_request(COMPLETIONS), reasons.KEY_MISSING, 401),
            (_keyed('Basic abc'), reasons.KEY_MISSING, 401),
            (_keyed('Bearer wrong'), reasons.KEY_UNKNOWN, 401),
            (_keyed('Bearer \xff\xfe'), reasons.KEY_UNKNOWN, 401),
            (_completion(b''), malformed, 400),
            (_completion(b'{"prompt": '), malformed, 400),
            (_completion(b'[]'), malformed, 400),
            (_completion(b'\xff\x00'), malformed, 400),
            (_completion(b'[' * 100000), malformed, 400),
            (_completion(b'{"prompt": 5}'), malformed, 400),
            (_completion(b'{"prompt": ""}'), malformed, 400),
            (
                _completion(b'{"prompt": "a", "max_tokens": -1}'),
                malformed,
                400,
            ),
            (
                _completion(b'{"prompt": "a", "model": "other"}'),
                reasons.MODEL_UNKNOWN,
                404,
            ),
            (
                http_request(
                    COMPLETIONS, AUTHORIZED, length=bodies.MAX_BODY_BYTES + 1
                ),
                reasons.BODY_TOO_LARGE,
                413,
            ),
        )
        for data, reason, status in cases:
            with self.subTest(data[:60]):
                await self.check(data, reason, status)

    async def test_refuses_chunked_body_above_size_limit(self):
        await self.serve()
        chunk = b'%x\r\n' % 65536 + b'x' * 65536 + b'\r\n'
        count = bodies.MAX_BODY_BYTES // 65536 + 2
        data = _chunked(chunk * count)
        await self.check(data, outcomes.Reason.BODY_TOO_LARGE, 413)

    async def test_refuses_body_that_times_out(self):
        await self.serve(body_s=0.05)
        data = http_request(COMPLETIONS, AUTHORIZED, b'{"pro', length=100)
        await self.check(data, outcomes.Reason.BODY_TOO_SLOW, 408)

    async def test_closes_connection_on_header_timeout(self):
        logs = await self.serve(headers_s=0.05)
        found = await self.exchange(b'POST /v1/completions HTTP/1.1\r\nHo')
        self.assertEqual(found, ('', b''))
        self.assertEqual(_events(logs), [1502])

    async def test_refuses_malformed_http_without_logging_its_content(self):
        logs = await self.serve()
        long_line = f'X-Long: {"secret" * 4000}\r\n'
        many_headers = ''.join(f'X-{n}: secret\r\n' for n in range(1000))
        cases = (
            http_request(COMPLETIONS, long_line),
            http_request(COMPLETIONS, many_headers),
            http_request(COMPLETIONS, 'no colon secret\r\n'),
            _chunked(b'secret\r\n'),
        )
        for data in cases:
            with self.subTest(data[:60]):
                head, _ = await self.exchange(data)
                self.assertIn(' 400 ', head.splitlines()[0])
        self.assertEqual(_events(logs), [1502] * len(cases))
        self.assertNotIn('secret', ''.join(logs.formatted_records))

    async def test_echoes_only_well_formed_request_id(self):
        await self.serve()
        for given, echoed in (('abc-1', True), ('a b', False)):
            with self.subTest(given):
                head, _ = await self.exchange(
                    http_request(COMPLETIONS, f'X-Request-Id: {given}\r\n')
                )
                found = f'X-Request-Id: {given}' in head
                self.assertEqual(found, echoed)
                self.assertIn('X-Request-Id', head)

    async def test_draining_clears_readiness_but_not_liveness(self):
        await self.serve()
        self.assertIn(
            ' 200 ', (await self.exchange(http_request('GET /-/ready')))[0]
        )
        self.services.leaving = self.services.draining = True
        self.assertIn(
            ' 503 ', (await self.exchange(http_request('GET /-/ready')))[0]
        )
        self.assertIn(
            ' 200 ', (await self.exchange(http_request('GET /-/live')))[0]
        )
        reason = outcomes.Reason.SHUTTING_DOWN
        head, _ = await self.check(
            http_request(COMPLETIONS, AUTHORIZED), reason, 503
        )
        self.assertIn('Retry-After: 1', head)

    async def test_refusal_of_call_with_id_reports_execution_unknown(self):
        await self.serve()
        self.services.leaving = self.services.draining = True
        for path, given, execution in (
            (FILINGS, 'Idempotency-Key: f-1\r\n', 'unknown'),
            (FILINGS, '', 'not run'),
            (COMPLETIONS, 'Idempotency-Key: f-1\r\n', 'not run'),
        ):
            with self.subTest(path=path, given=given):
                head, _ = await self.exchange(
                    http_request(path, AUTHORIZED + given)
                )
                self.assertIn(f'X-Execution: {execution}', head)

    async def test_refuses_key_withdrawn_during_body_upload(self):
        await self.serve()
        reader, writer = await asyncio.open_connection(
            ports.LOOPBACK, self.port
        )
        body = b'{"prompt": "a"}'
        writer.write(http_request(COMPLETIONS, AUTHORIZED, body)[:-1])
        await asyncio.sleep(0.05)
        lookups = self.services.view.lookups
        lookups.account_ids_by_key_digest.clear()
        writer.write(body[-1:])
        async with asyncio.timeout(TIMEOUT_S):
            line = await reader.readline()
        writer.close()
        self.assertIn(b' 401 ', line)


def _keyed(value):
    return http_request(COMPLETIONS, f'Authorization: {value}\r\n')


def _completion(body):
    return http_request(COMPLETIONS, AUTHORIZED, body)


def _chunked(body):
    head = (
        f'{COMPLETIONS} HTTP/1.1\r\nHost: h\r\n{AUTHORIZED}'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    return head.encode() + body


def _length_of(head):
    for line in head.decode().splitlines():
        name, _, value = line.partition(':')
        if name.lower() == 'content-length':
            return int(value)
    return 0


def _events(logs):
    return [
        record.extra['event'].number
        for record in logs.records
        if 'event' in record.extra
    ]
