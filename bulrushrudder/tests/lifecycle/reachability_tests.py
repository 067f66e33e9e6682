import unittest

from bulrushrudder.lifecycle import reachability
from bulrushrudder.tests.builders import fleet


class ReachabilityTests(unittest.TestCase):
    def setUp(self):
        self.decodes = [fleet.server(f'decode-{n}') for n in range(3)]
        self.prefill = fleet.server('prefill-1', 'prefill')
        self.candidates = [*self.decodes, self.prefill]
        self.found = reachability.Reachability()

    def test_a_failed_server_is_avoided_for_a_while(self):
        self.found.record_failure(self.decodes[0], 10.0)
        soon_s = 10.0 + reachability.AVOIDANCE_PERIOD_S / 2
        self.assertEqual(
            self.found.servers_to_avoid(self.candidates, soon_s), ('decode-0',)
        )
        late_s = 10.0 + reachability.AVOIDANCE_PERIOD_S
        self.assertEqual(
            self.found.servers_to_avoid(self.candidates, late_s), ()
        )

    def test_another_run_of_the_server_is_not_avoided(self):
        self.found.record_failure(self.decodes[0], 10.0)
        again = fleet.server('decode-0', incarnation=2)
        self.assertEqual(
            self.found.servers_to_avoid([again, *self.decodes[1:]], 10.1), ()
        )

    def test_the_last_servers_of_a_kind_are_not_avoided(self):
        self.found.record_failure(self.prefill, 10.0)
        self.assertEqual(
            self.found.servers_to_avoid(self.candidates, 10.1), ()
        )
        for server in self.decodes:
            self.found.record_failure(server, 10.0)
        self.assertEqual(
            self.found.servers_to_avoid(self.candidates, 10.1), ()
        )
