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
    def test_an_engine_gets_its_memory_from_the_document(self):
        found = read(builders.beat()).unwrap()
        self.assertEqual(found.server.kind, 'decode')
        self.assertEqual(found.server.incarnation, 1700000000000)
        self.assertEqual(found.server.memory_tokens, 37952)
        self.assertEqual((found.server.host, found.server.port)[1], 8080)
        self.assertEqual(found.server.serves, ('engines',))
        self.assertEqual(found.sequence, 4)
        self.assertFalse(found.leaving)

    def test_a_plain_service_has_no_stage(self):
        found = read(builders.beat(service='portal', stage=None, slots=6))
        self.assertEqual(found.unwrap().server.kind, 'service')
        self.assertEqual(found.unwrap().server.places, 6)

    def test_a_leaving_runner(self):
        self.assertTrue(read(builders.beat(state='draining')).unwrap().leaving)

    def test_new_fields_are_left_out(self):
        found = read(builders.beat(colour='blue'))
        self.assertIsInstance(found, result.Success)

    def test_before_the_first_document_any_service_may_be(self):
        found = read(builders.beat(service='later'), {})
        self.assertIsInstance(found, result.Success)

    def test_what_cannot_be_read_names_no_runner(self):
        for body in (
            b'',
            b'{',
            b'\xff\xfe',
            b'[]',
            builders.beat(service='nobody'),
            builders.beat(state='resting'),
            builders.beat(address='nowhere'),
            builders.beat(address=17),
            builders.beat(sequence='4'),
            builders.beat(stage='both'),
            builders.beat(slots=None),
            builders.beat(born=1.5),
        ):
            with self.subTest(body):
                self.assertIsInstance(read(body), result.Failure)


class DepartureTests(unittest.TestCase):
    def test_the_incarnation_may_be_named(self):
        self.assertEqual(announcements.read_departure(b'{"born":7}'), 7)
        for body in (b'', b'{}', b'{', b'{"born":"7"}'):
            self.assertIsNone(announcements.read_departure(body))
