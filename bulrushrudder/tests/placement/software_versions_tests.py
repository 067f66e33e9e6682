import unittest

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import places


def servers_changed(*versions):
    """Return the event of a prefill server and of decode servers."""
    decodes = [
        fleet.server(
            f'd-{number}', software=version, zone=ids.Zone('a'), places=2
        )
        for number, version in enumerate(versions)
    ]
    return events.ServersChanged((fleet.server('p', 'prefill'), *decodes))


class SoftwareVersionTests(unittest.TestCase):
    def setUp(self):
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)

    def ask(self, number, software):
        return self.coordinator.handle(
            places.placement_request(number, software=software), float(number)
        )

    def test_only_servers_of_the_version_are_granted(self):
        self.coordinator.handle(
            servers_changed('v1', 'v1', 'v1', 'v1', 'v2'), 0.0
        )
        for number in (1, 2):
            (grant,) = self.ask(number, 'v2')
            self.assertEqual(grant.decode, 'd-4')
        self.assertEqual(self.ask(3, 'v2'), [])

    def test_request_for_a_version_without_server_is_refused_at_once(self):
        self.coordinator.handle(servers_changed('v1'), 0.0)
        (refusal,) = self.ask(1, 'v2')
        self.assertEqual(refusal.reason, outcomes.Reason.NO_SERVER)
        (grant,) = self.ask(2, None)
        self.assertEqual(grant.decode, 'd-0')

    def test_waiting_request_is_refused_once_its_version_has_left(self):
        self.coordinator.handle(servers_changed('v1', 'v2'), 0.0)
        for number in range(1, 4):
            self.ask(number, 'v1')
        decided = self.coordinator.handle(servers_changed('v2'), 4.0)
        self.assertEqual([r.call for r in places.refusals(decided)], [3])
