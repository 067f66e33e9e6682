import unittest

from bulrushrudder.lifecycle import reachability
from bulrushrudder.tests.builders import fleet


class ReachabilityTests(unittest.TestCase):
    def setUp(self):
        self.decodes = [fleet.server(f'decode-{n}') for n in range(3)]
        self.prefill = fleet.server('prefill-1', 'prefill')
        self.candidates = [*self.decodes, self.prefill]
        self.reachability = reachability.Reachability()

    def test_avoids_failed_server_for_avoidance_period(self):
        self.reachability.record_failure(self.decodes[0], 10.0)
        soon_s = 10.0 + reachability.AVOIDANCE_PERIOD_S / 2
        self.assertEqual(
            self.reachability.servers_to_avoid(self.candidates, soon_s),
            ('decode-0',),
        )
        late_s = 10.0 + reachability.AVOIDANCE_PERIOD_S
        self.assertEqual(
            self.reachability.servers_to_avoid(self.candidates, late_s), ()
        )

    def test_does_not_avoid_restarted_server(self):
        self.reachability.record_failure(self.decodes[0], 10.0)
        restarted = fleet.server('decode-0', incarnation=2)
        self.assertEqual(
            self.reachability.servers_to_avoid(
                [restarted, *self.decodes[1:]], 10.1
            ),
            (),
        )

    def test_does_not_avoid_kind_whose_servers_all_failed(self):
        self.reachability.record_failure(self.prefill, 10.0)
        self.assertEqual(
            self.reachability.servers_to_avoid(self.candidates, 10.1), ()
        )
        for server in self.decodes:
            self.reachability.record_failure(server, 10.0)
        self.assertEqual(
            self.reachability.servers_to_avoid(self.candidates, 10.1), ()
        )
