import unittest

from returns import result

from bulrushrudder.core import keys
from bulrushrudder.documents import differences
from bulrushrudder.documents import lookups
from bulrushrudder.documents import types
from bulrushrudder.platform import configuration
from bulrushrudder.tests.builders import platform as builders


class ReadTests(unittest.TestCase):
    def test_converts_all_fields(self):
        parsed = configuration.read(
            builders.encoded(builders.CONFIGURATION)
        ).unwrap()
        (route,) = parsed.routes
        self.assertEqual(route.host, 'one.example')
        self.assertTrue(route.prefix)
        self.assertEqual(route.target.timeout_s, 14.0)
        self.assertEqual(route.target.answer_s, 0.9)
        self.assertEqual(route.target.between_events_s, 0.3)
        self.assertEqual(route.target.attempts, 2)
        self.assertIs(route.target.repetition, types.Repetition.REST)
        engine = parsed.services[0].engine
        self.assertEqual(engine.memory_tokens, 37952)
        self.assertEqual(engine.event_tokens, 12)
        self.assertAlmostEqual(engine.link_tokens_per_s, 1220703.125)
        self.assertIsNone(parsed.services[1].engine)
        (account,) = parsed.accounts
        self.assertEqual(account.rate, 36000)
        self.assertEqual(account.call_tokens, 200)
        self.assertIn(keys.digest('acme-key'), account.key_digests)

    def test_stream_that_is_not_resumable_is_not_repeated(self):
        changed = builders.configuration()
        changed['routes'][0]['resumable'] = False
        parsed = configuration.read(builders.encoded(changed)).unwrap()
        target = parsed.routes[0].target
        self.assertIs(target.repetition, types.Repetition.NOTHING)

    # Guards against a route that is answered 404 because a later one has
    # the same name.

    def test_routes_of_one_name_are_different_routes(self):
        changed = builders.configuration()
        for prefix in ('/other/', '/third/'):
            route = {**changed['routes'][0], 'path_prefix': prefix}
            changed['routes'].append(route)
        parsed = configuration.read(builders.encoded(changed)).unwrap()
        kept = differences.canonical(parsed)
        paths = sorted(route.path for route in kept.routes)
        self.assertEqual(paths, ['/drafts/', '/other/', '/third/'])
        table = lookups.Lookups(kept)
        for path in paths:
            found = table.route_of('POST', f'{path}1', 'one.example')
            self.assertEqual(found.path, path)

    def test_account_without_rate_is_unlimited(self):
        changed = builders.configuration()
        for burst in (0, 5000):
            with self.subTest(burst):
                changed['tenants'][0].update(rate_per_s=0, burst=burst)
                parsed = configuration.read(builders.encoded(changed)).unwrap()
                self.assertGreater(parsed.accounts[0].rate, 1e8)
                self.assertGreater(parsed.accounts[0].burst, 1e8)

    def test_account_without_burst_may_spend_its_rate(self):
        changed = builders.configuration()
        changed['tenants'][0].update(rate_per_s=300.5, burst=0)
        parsed = configuration.read(builders.encoded(changed)).unwrap()
        self.assertEqual(parsed.accounts[0].rate, 300.5)
        self.assertEqual(parsed.accounts[0].burst, 301)


def remove_routes(changed):
    del changed['routes']


def use_unknown_service(changed):
    changed['routes'][0]['service'] = 'nobody'


def split_to_unknown_service(changed):
    changed['routes'][0]['split'] = [{'service': 'nobody', 'weight': 1}]


def duplicate_prefix(changed):
    changed['routes'].append({**changed['routes'][0], 'name': 'r-2'})


def duplicate_host_in_capitals(changed):
    changed['routes'].append({**changed['routes'][0], 'host': 'ONE.example'})


def set_zero_weight(changed):
    changed['routes'][0]['split'] = [{'service': 'engines', 'weight': 0}]


def set_zero_timeout(changed):
    changed['routes'][0]['timeout_ms'] = 0


def duplicate_key(changed):
    tenant = changed['tenants'][0]
    changed['tenants'].append({**tenant, 'name': 'other'})


def set_version_to_text(changed):
    changed['version'] = '7'


class InvalidConfigurationTests(unittest.TestCase):
    def test_rejects_each_kind_of_error(self):
        for break_configuration in (
            remove_routes,
            use_unknown_service,
            split_to_unknown_service,
            duplicate_prefix,
            duplicate_host_in_capitals,
            set_zero_weight,
            set_zero_timeout,
            duplicate_key,
            set_version_to_text,
        ):
            with self.subTest(break_configuration.__name__):
                changed = builders.configuration()
                break_configuration(changed)
                parsed = configuration.read(builders.encoded(changed))
                self.assertIsInstance(parsed, result.Failure)

    def test_rejects_truncated_body(self):
        source = builders.encoded(builders.CONFIGURATION)
        for size in (0, 1, len(source) // 2, len(source) - 1):
            with self.subTest(size):
                parsed = configuration.read(source[:size])
                self.assertIsInstance(parsed, result.Failure)


class LookupTests(unittest.TestCase):
    def test_longest_prefix_of_host_is_chosen(self):
        changed = builders.configuration()
        route = changed['routes'][0]
        changed['routes'] += [
            {**route, 'name': 'r-2', 'path_prefix': '/drafts/long/'},
            {**route, 'name': 'r-3', 'path_prefix': '/'},
            {**route, 'name': 'r-4', 'host': 'two.example'},
        ]
        parsed = configuration.read(builders.encoded(changed)).unwrap()
        table = lookups.Lookups(parsed)
        for host, path, expected in (
            ('one.example', '/drafts/1', 'r-1'),
            ('one.example', '/drafts/', 'r-1'),
            ('one.example', '/drafts', 'r-3'),
            ('one.example', '/drafts/long/2', 'r-2'),
            ('one.example', '/drafts/longer', 'r-1'),
            ('two.example', '/drafts/long/2', 'r-4'),
        ):
            with self.subTest(f'{host}{path}'):
                route = table.route_of('POST', path, host)
                name, _, _ = route.id.partition(' ')
                self.assertEqual(name, expected)
        self.assertIsNone(table.route_of('POST', '/x', 'two.example'))
        self.assertIsNone(table.route_of('POST', '/drafts/1', 'three'))
