import unittest

from returns import result

from bulrushrudder.platform import headers
from bulrushrudder.tests.builders import platform as builders


class ReadTests(unittest.TestCase):
    def test_parses_client_headers(self):
        parsed = headers.read(builders.CLIENT_HEADERS).unwrap()
        self.assertEqual(parsed.attempt, '9c41d07be2a35f68')
        self.assertEqual(parsed.timeout_s, 14.0)
        self.assertEqual(parsed.prompt_tokens, 1460)
        self.assertEqual(parsed.output_tokens, 80)
        self.assertEqual(parsed.expected_tokens, 70)
        self.assertEqual(parsed.shared_parts, ('5c1e07a2', '91bd3f06'))

    def test_malformed_parts_of_prompt_are_left_out(self):
        for value, expected in (
            ('', ()),
            ('5c1e07a2', ()),
            ('5C1E07A2:1,5c1e07a2:1, ,:3,last:1', ('5c1e07a2',)),
            ('x' * 65 + ':1,last:1', ()),
        ):
            with self.subTest(value):
                pairs = [
                    (n, value if n == 'Prompt-Prefix' else v)
                    for n, v in builders.CLIENT_HEADERS
                ]
                parsed = headers.read(pairs).unwrap()
                self.assertEqual(parsed.shared_parts, expected)

    def test_rejects_invalid_numbers(self):
        for name, value in (
            ('Token-Usage', '1460'),
            ('Token-Usage', 'a,b'),
            ('Token-Usage', '-1,2'),
            ('Deadline-Ms', 'soon'),
        ):
            with self.subTest(f'{name}: {value}'):
                pairs = [
                    (n, value if n == name else v)
                    for n, v in builders.CLIENT_HEADERS
                ]
                parsed = headers.read(pairs)
                self.assertIsInstance(parsed, result.Failure)

    def test_rejects_call_without_attempt_id(self):
        parsed = headers.read((('Host', 'one.example'),))
        self.assertIsInstance(parsed, result.Failure)


class ForwardedTests(unittest.TestCase):
    def test_removes_credentials_and_reserved_headers(self):
        sent = (
            *builders.CLIENT_HEADERS,
            ('Connection', 'close, X-Hop'),
            ('X-Hop', '1'),
            ('X-Own', '2'),
            ('tenant', 'other'),
            ('KV-Source', '10.0.0.1:1/x'),
            ('Kv-Hold', 'x'),
            ('Pin-Ms', '1'),
            ('Kv-Backup', 'x'),
            ('Stage', 'prefill'),
            ('Expect-Instance', 'i-1'),
            ('Transfer-Encoding', 'chunked'),
            ('Content-Length', '3'),
        )
        names = {name for name, _ in headers.forwarded_headers(sent)}
        self.assertEqual(
            names,
            {
                'Host',
                'Attempt-Id',
                'Model',
                'Token-Usage',
                'Length-Hint',
                'Prompt-Prefix',
                'X-Own',
            },
        )


class CallTests(unittest.TestCase):
    def test_encodes_call_with_body(self):
        data = headers.encode_request(
            'POST', '/a?b=%20c', [('Host', 'x')], b'abc'
        )
        self.assertEqual(
            data,
            b'POST /a?b=%20c HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 3\r\n\r\nabc',
        )

    def test_call_without_body_has_no_content_length(self):
        data = headers.encode_request('GET', '/', [], b'')
        self.assertEqual(data, b'GET / HTTP/1.1\r\n\r\n')
