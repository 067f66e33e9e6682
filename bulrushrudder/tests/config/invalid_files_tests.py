import asyncio
import pathlib
import tempfile
import unittest

from returns import result

from bulrushrudder.backpressure import cold_pace
from bulrushrudder.config import document
from bulrushrudder.config import settings_file
from bulrushrudder.placement import crossing

DOCUMENT = """\
version: 1
accounts:
  - id: acme
    rate: 10
    burst: 100
models:
  - {id: drafting, max_output_tokens: 8}
routes:
  - id: drafts
    path: /drafts
    model: drafting
"""
SETTINGS = """\
vm: vm1
zone: a
controls:
  - {host: 127.0.0.1, port: 7300}
entry:
  callers: {host: 127.0.0.1, port: 1}
  backends: {host: 127.0.0.1, port: 2}
  metrics: {host: 127.0.0.1, port: 3}
  inner: {host: 127.0.0.1, port: 4}
secrets: {cluster: secret, operators: secret, backends: secret}
"""
COLD = """\
bounds:
  retry_share: 0.2
  retry_extra: 50
  retry_window_s: 10
  spare_tokens: 1000
  spare_window_s: 8
  cold_overrun: VALUE
  cold_tolerance: VALUE
control:
  operators: 127.0.0.1:5
  metrics: 127.0.0.1:6
  inner: 127.0.0.1:7
  data_folder: data
  cold_overrun: VALUE
"""


def messages_of(outcome):
    match outcome:
        case result.Failure(problems):
            return [str(problem) for problem in problems]
    return []


class InvalidDocumentTests(unittest.TestCase):
    def test_error_names_line_field_and_expected_value(self):
        cases = (
            ('path: /drafts', 'path: drafts', 'd:10: routes[0].path: String'),
            (
                'model: drafting\n',
                'model: other\n',
                'd:0: routes[0].model: model other is not defined',
            ),
            (
                '    model: drafting\n',
                '',
                'd:9: routes[0]: Value error, expected exactly one of',
            ),
            ('burst: 100', 'burst: 0', 'd:5: accounts[0].burst: Input should'),
            ('burst: 100', 'burst: 1e400', 'd:5: accounts[0].burst: '),
            ('rate: 10', 'rate: .nan', 'd:4: accounts[0].rate: '),
            ('rate: 10', 'rate: "10"', 'd:4: accounts[0].rate: '),
            ('id: acme', 'id: 00123', 'd:3: accounts[0].id: expected text'),
            ('id: acme', 'id: no', 'd:3: accounts[0].id: expected text'),
            ('id: acme', 'id: 2026-12-04', 'd:3: accounts[0].id: expected'),
            ('id: acme', 'id: 2026-99-99', 'd:3: accounts[0].id: not YAML'),
            ('id: acme', 'id: &a acme', 'd:3: accounts[0]: anchors and al'),
            ('id: acme', 'id: *a', 'd:3: accounts[0]: anchors and aliases'),
            ('id: acme', '1: acme', 'd:3: accounts[0].1: expected text as'),
            ('id: acme', '[a]: acme', 'd:3: accounts[0]: expected text as'),
            ('id: acme', 'id: ' + '[' * 99, 'd:3: accounts[0].id'),
            (
                'id: acme',
                'id: !!python/name:os.system',
                'd:3: not YAML: could',
            ),
            ('version: 1', '--- 1\n--- 2\n---', 'd:0: expected one YAML doc'),
            ('version: 1', 'version: 1\n\tx: 2', 'd:2: not YAML: '),
            ('version: 1', 'version: "\x00"', 'd:0: not YAML: '),
        )
        for before, after, expected in cases:
            with self.subTest(after[:30]):
                source = DOCUMENT.replace(before, after, 1).encode()
                messages = messages_of(document.load('d', source))
                self.assertTrue(messages)
                self.assertEqual(messages[0][: len(expected)], expected)
                self.assertLess(len(messages[0]), 300)
                loaded_async = asyncio.run(document.load_async('d', source))
                self.assertEqual(messages_of(loaded_async), messages)

    def test_setting_of_other_kind_of_route_is_an_error(self):
        model_route = '    model: drafting\n'
        service_route = '    service: portal\n'
        for route, setting in (
            (model_route, 'timeout_s: 3'),
            (model_route, 'call_tokens: 3'),
            (service_route, 'first_token_s: 1'),
            (service_route, 'between_tokens_s: 1'),
        ):
            with self.subTest(setting):
                source = DOCUMENT.replace(model_route, f'{route}    {setting}')
                messages = messages_of(document.load('d', source.encode()))
                self.assertEqual(len(messages), 1, messages)
                self.assertIn(setting.partition(':')[0], messages[0])

    def test_accepts_valid_document(self):
        source = DOCUMENT.encode()
        outcome = document.load('d', source)
        self.assertEqual(messages_of(outcome), [])
        loaded_async = asyncio.run(document.load_async('d', source))
        self.assertEqual(loaded_async, outcome)

    def test_reports_at_most_20_errors(self):
        wrong = ''.join(f'  - {{id: {n}}}\n' for n in range(500))
        source = f'version: 1\nroutes: []\naccounts:\n{wrong}'.encode()
        self.assertEqual(len(messages_of(document.load('d', source))), 20)


class InvalidSettingsTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / 'secret').write_text('0123456789abcdef')
        (self.folder / 'short').write_text('0123')

    def load(self, before='', after=''):
        file = self.folder / 's'
        file.write_text(SETTINGS.replace(before, after, 1))
        messages = messages_of(settings_file.load(str(file)))
        return [text.removeprefix(f'{self.folder}/') for text in messages]

    def test_error_names_line_field_and_expected_value(self):
        cases = (
            ('vm: vm1', 'vm: 1', 's:1: vm: expected text, found 1; put it'),
            ('zone: a\n', '', 's:1: zone: required field is missing'),
            ('port: 7300', 'port: 70000', 's:4: controls[0].port: Input sho'),
            ('127.0.0.1', 'localhost', 's:4: controls[0].host: Value error'),
            ('controls:', 'control:', 's:3: '),
            ('  inner:', '  iner:', 's:5: entry.inner: required field is mis'),
            ('cluster: secret', 'cluster: none', 's:0: secrets.cluster: '),
            ('cluster: secret', 'cluster: short', 's:0: secrets.cluster: '),
            ('zone: a', 'zone: a\nzone: b', 's:3: zone: duplicate key'),
            ('zone: a', 'zone: a\nregion: b', 's:3: region: unknown field'),
        )
        for before, after, expected in cases:
            with self.subTest(after):
                messages = self.load(before, after)
                self.assertTrue(messages)
                self.assertEqual(messages[0][: len(expected)], expected)

    def test_accepts_valid_settings(self):
        self.assertEqual(self.load(), [])

    def load_bounds(self, *lines):
        file = self.folder / 's'
        bounds = (
            'retry_share: 0.2',
            'retry_extra: 1',
            'retry_window_s: 10',
            'spare_tokens: 0',
            'spare_window_s: 8',
            *lines,
        )
        text = ''.join(f'  {line}\n' for line in bounds)
        file.write_text(f'{SETTINGS}bounds:\n{text}')
        return settings_file.load(str(file))

    def test_bytes_have_no_price_unless_stated(self):
        bounds = self.load_bounds().unwrap().bounds
        self.assertEqual(crossing.of_bounds(bounds), crossing.FIXED)
        self.assertEqual(crossing.of_bounds(None), crossing.FIXED)

    def test_prices_of_bytes_are_read(self):
        loaded = self.load_bounds(
            'cross_zone_byte_cost: 0.5',
            'caller_second_value: 2',
            'region_by_zone: {a: north}',
        ).unwrap()
        self.assertEqual(
            crossing.of_bounds(loaded.bounds),
            crossing.ByteCosts(0.5, 0.5, 2.0, 0.0, (('a', 'north'),)),
        )

    def test_price_without_value_of_a_second_is_an_error(self):
        for lines, missing in (
            (['cross_zone_byte_cost: 1'], 'caller_second_value is missing'),
            (['cross_region_byte_cost: 1'], 'cross_zone_byte_cost is missing'),
        ):
            with self.subTest(missing):
                (message,) = messages_of(self.load_bounds(*lines))
                self.assertIn(missing, message)

    # Guards against a process that does not start where the platform's
    # template has no value for a bound.
    def test_cold_bounds_without_a_value_are_absent(self):
        file = self.folder / 's'
        for value, known in (('', False), ('0', False), ('1.5', True)):
            with self.subTest(value):
                file.write_text(SETTINGS + COLD.replace('VALUE', value))
                loaded = settings_file.load(str(file)).unwrap()
                self.assertEqual(loaded.control.knows_cold, known)
                bounds = cold_pace.of_bounds(loaded.bounds)
                self.assertEqual(bounds is not None, known)

    def test_order_lease_of_zero_is_not_the_default(self):
        file = self.folder / 's'
        control = (
            'control:\n  operators: 127.0.0.1:5\n  metrics: 127.0.0.1:6\n'
            '  inner: 127.0.0.1:7\n  data_folder: data\n'
            '  order_lease_ms: 0\n'
        )
        file.write_text(SETTINGS + control)
        loaded = settings_file.load(str(file)).unwrap()
        self.assertEqual(loaded.control.order_lease_s, 0.0)
