import unittest

from returns import result

from bulrushrudder.platform import announcements
from bulrushrudder.platform import configuration
from bulrushrudder.tests.builders import platform as builders

DOCUMENT = configuration.read(
    builders.encoded(builders.CONFIGURATION)
).unwrap()
SERVICES = {service.id: service for service in DOCUMENT.services}


def read(body, services=SERVICES):
    return announcements.read('i-1', body, services)


class ReadTests(unittest.TestCase):
    def test_takes_engine_memory_from_document(self):
        parsed = read(builders.heartbeat()).unwrap()
        self.assertEqual(parsed.server.kind, 'decode')
        self.assertEqual(parsed.server.incarnation, 1700000000000)
        self.assertEqual(parsed.server.memory_tokens, 37952)
        self.assertEqual((parsed.server.host, parsed.server.port)[1], 8080)
        self.assertEqual(parsed.server.serves, ('engines',))
        self.assertEqual(parsed.sequence, 4)
        self.assertFalse(parsed.leaving)

    def test_accepts_plain_service_without_stage(self):
        parsed = read(
            builders.heartbeat(service='portal', stage=None, slots=6)
        )
        self.assertEqual(parsed.unwrap().server.kind, 'service')
        self.assertEqual(parsed.unwrap().server.places, 6)

    def test_draining_runner_is_leaving(self):
        self.assertTrue(
            read(builders.heartbeat(state='draining')).unwrap().leaving
        )

    def read_cold(self, per_s, remaining_ms, knows_cold=True):
        content = builders.configuration()
        content['services'][0] |= {'cold_start_s': 3.0, 'cold_per_s': per_s}
        document = configuration.read(builders.encoded(content)).unwrap()
        body = builders.heartbeat(cold_remaining_ms=remaining_ms)
        announced = announcements.read(
            'i-1', body, {s.id: s for s in document.services}, knows_cold
        )
        server = announced.unwrap().server
        return server.cold, server.cold_requests_per_s

    def test_cold_runner_takes_its_rate_from_its_service(self):
        self.assertEqual(self.read_cold(12.0, 2400), (True, 12.0))
        self.assertEqual(self.read_cold(12.0, 0), (False, 12.0))
        self.assertEqual(self.read_cold(12.0, None), (False, 12.0))

    def test_runner_is_not_cold_if_service_or_settings_say_nothing(self):
        self.assertEqual(self.read_cold(0, 2400), (False, 0.0))
        self.assertEqual(self.read_cold(None, 2400), (False, 0.0))
        self.assertEqual(self.read_cold(12.0, 2400, False), (None, 0.0))

    def test_ignores_unknown_fields(self):
        parsed = read(builders.heartbeat(colour='blue'))
        self.assertIsInstance(parsed, result.Success)

    def test_accepts_any_service_before_first_document(self):
        parsed = read(builders.heartbeat(service='later'), {})
        self.assertIsInstance(parsed, result.Success)

    # Guards against announcements that fill the memory of every VM.

    def test_rejects_texts_that_are_too_long(self):
        for name in ('service', 'address', 'zone', 'version'):
            with self.subTest(name):
                body = builders.heartbeat(**{name: 'a' * 1000 + ':80'})
                self.assertIn(name, read(body, {}).failure())
        long_id = 'i' * 1000
        refused = announcements.read(long_id, builders.heartbeat(), SERVICES)
        self.assertIn('1000 characters', refused.failure())

    def test_rejects_invalid_heartbeats(self):
        for body in (
            b'',
            b'{',
            b'\xff\xfe',
            b'[]',
            builders.heartbeat(service='nobody'),
            builders.heartbeat(state='resting'),
            builders.heartbeat(address='nowhere'),
            builders.heartbeat(address=17),
            builders.heartbeat(sequence='4'),
            builders.heartbeat(stage='both'),
            builders.heartbeat(slots=None),
            builders.heartbeat(born=1.5),
            builders.heartbeat(born=2**63),
            builders.heartbeat(slots=2**63),
            builders.heartbeat(sequence=2**70),
        ):
            with self.subTest(body):
                self.assertIsInstance(read(body), result.Failure)


class DepartureTests(unittest.TestCase):
    def test_reads_optional_incarnation(self):
        self.assertEqual(announcements.read_departure(b'{"born":7}'), 7)
        for body in (
            b'',
            b'{}',
            b'{',
            b'{"born":"7"}',
            b'{"born":%d}' % 2**63,
        ):
            self.assertIsNone(announcements.read_departure(body))
