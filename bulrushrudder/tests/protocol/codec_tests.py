import unittest

import msgspec
from returns import result

from bulrushrudder.core import ids
from bulrushrudder.placement import service_zones
from bulrushrudder.placement import zone_balance
from bulrushrudder.protocol import codec
from bulrushrudder.protocol import log_messages
from bulrushrudder.protocol import messages
from bulrushrudder.protocol import place_messages
from bulrushrudder.protocol import registry
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import cold_fleet
from bulrushrudder.tests.builders import documents
from bulrushrudder.tests.builders import fleet


class CodecTests(unittest.TestCase):
    def test_decoding_reverses_encoding(self):
        for message in (
            messages.Heartbeat(True),
            log_messages.Observe(fleet.owner(), 7),
            log_messages.Entries(3, (b'a', b'')),
            servers.JoinServer(fleet.server()),
            documents.submission(documents.document()),
        ):
            with self.subTest(type(message).__name__):
                data = codec.encode(message)
                self.assertEqual(codec.decode(data).unwrap(), message)

    def test_decoding_invalid_bytes_fails(self):
        whole = codec.encode(log_messages.Observe(fleet.owner(), 7))
        wrong_type = whole[:-1] + b'\xa1x'
        for data in (b'', b'\xff', whole[:-1], wrong_type, b'\x91\x7f'):
            with self.subTest(data):
                self.assertIsInstance(codec.decode(data), result.Failure)

    def test_decodes_message_without_trailing_default_fields(self):
        message = place_messages.PlaceRequest(
            ids.RequestId('r1'), fleet.owner(), '', 'm', 10, 5, False, 1.0
        )
        fields = msgspec.msgpack.decode(codec.encode(message))
        data = msgspec.msgpack.encode(fields[:9])
        self.assertEqual(codec.decode(data).unwrap(), message)
        without_required = msgspec.msgpack.encode(fields[:8])
        self.assertIsInstance(codec.decode(without_required), result.Failure)

    def test_previous_build_reads_report_and_response_about_zones(self):
        load = service_zones.ServiceLoad(
            ids.Zone('a'),
            5.0,
            7000.0,
            (service_zones.ServerCalls(ids.ServerId('s1'), 1.0, 0.1),),
        )
        share = zone_balance.Share(
            ids.Zone('a'), ids.Zone('b'), 0.5, zone_balance.Reason.OVERLOAD
        )
        for message, known in (
            (
                place_messages.ReportHolds(
                    fleet.owner(), 'docs', 1, 0, (), load
                ),
                6,
            ),
            (place_messages.UnknownHolds((), (share,), 3.0), 2),
        ):
            with self.subTest(type(message).__name__):
                data = codec.encode(message)
                self.assertEqual(codec.decode(data).unwrap(), message)
                fields = msgspec.msgpack.decode(data)
                tag = registry.TAG_BY_TYPE[type(message)]
                self.assertEqual(fields[0], tag)
                # The previous build reads the fields that it knows of an
                # array, whatever follows, and sends no more than these.
                sent_back = msgspec.msgpack.encode(fields[:known])
                read = codec.decode(sent_back).unwrap()
                self.assertIsInstance(read, type(message))

    # Guards against a version without cold servers that cannot read what
    # this one sends, or the other way round.
    def test_record_of_a_cold_server_is_readable_without_its_last_fields(
        self,
    ):
        joined = servers.JoinServer(cold_fleet.cold_server())
        fields = msgspec.msgpack.decode(codec.encode(joined))
        fields[1] = fields[1][:-2]
        earlier = codec.decode(msgspec.msgpack.encode(fields)).unwrap()
        self.assertEqual(earlier, servers.JoinServer(fleet.server()))
        later = [*msgspec.msgpack.decode(codec.encode(joined)), 1, 2]
        self.assertEqual(
            codec.decode(msgspec.msgpack.encode(later)).unwrap(), joined
        )

    def test_tags_are_unique(self):
        tags = list(registry.TAG_BY_TYPE.values())
        self.assertEqual(len(tags), len(set(tags)))
