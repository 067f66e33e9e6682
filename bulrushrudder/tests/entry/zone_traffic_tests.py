import types
import unittest

from bulrushrudder.core import ids
from bulrushrudder.entry import tunnel_server
from bulrushrudder.entry import zone_traffic
from bulrushrudder.lifecycle import events
from bulrushrudder.metrics import entry
from bulrushrudder.state import servers
from bulrushrudder.state import sessions
from bulrushrudder.tests.builders import coordinator_fleet
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import jobs
from bulrushrudder.tests.builders import model_zones

ATTEMPT = ids.AttemptId(ids.RequestId('1'), fleet.owner(), 1)


class ZoneTrafficTests(unittest.TestCase):
    """Bytes that cross zones have to be counted once, with their reason."""

    def setUp(self):
        self.vms = coordinator_fleet.CoordinatorFleet(('vm1', 'vm2'))
        self.metrics = entry.EntryMetrics()
        self.services = types.SimpleNamespace(
            view=self.vms.view,
            owner=fleet.owner(),
            metrics=self.metrics,
            costs=model_zones.PRICED,
        )

    def server(self, name, kind, zone):
        server = fleet.server(name, kind, zone=ids.Zone(zone))
        self.vms.apply(servers.JoinServer(server))
        return server

    def counted(self):
        """Return the bytes by traffic and reason."""
        return {
            (labels['traffic'], labels['reason']): size
            for labels, size in self.metrics.crossing_bytes.get_all()
        }

    def play(self, prefill, decode):
        job = jobs.job(prompt_tokens=100)
        traffic = zone_traffic.RequestTraffic(job, self.services)
        traffic.prefill(prefill)
        traffic.decode(decode, prefill)
        traffic.answer([events.TokenArrived(ATTEMPT, 0, 'word')])
        return self.counted()

    def test_counts_nothing_inside_the_zone(self):
        prefill = self.server('p', 'prefill', 'a')
        decode = self.server('d', 'decode', 'a')
        self.assertEqual(self.play(prefill, decode), {})

    def test_counts_each_leg_with_its_reason(self):
        prefill = self.server('p', 'prefill', 'a')
        self.server('d1', 'decode', 'a')
        decode = self.server('d2', 'decode', 'b')
        self.assertEqual(
            self.play(prefill, decode),
            {
                ('cache', 'placement'): 100 * 100_000.0,
                ('answer', 'placement'): 4,
            },
        )

    def test_zone_without_server_is_the_reason(self):
        prefill = self.server('p', 'prefill', 'b')
        decode = self.server('d', 'decode', 'b')
        self.assertEqual(
            self.play(prefill, decode),
            {('prompt', 'no_server'): 400, ('answer', 'no_server'): 4},
        )

    def test_tunnel_counts_what_it_adds_to_the_direct_way(self):
        self.vms.apply(
            sessions.OpenSession(
                fleet.owner('vm3'), ids.Zone('b'), '127.0.0.1', 1
            )
        )
        for name in 'ab':
            self.server(name, 'service', name)
        for dialler, server, added in (
            ('vm1', 'a', 2000),
            ('vm1', 'b', 0),
            ('vm3', 'b', 0),
        ):
            with self.subTest(dialler=dialler, server=server):
                metrics = self.metrics = entry.EntryMetrics()
                relay = tunnel_server.TunnelServer(
                    None,
                    None,
                    self.vms.view,
                    metrics,
                    None,
                    ids.Zone('b'),
                    ledger=None,
                )
                relay._count(ids.VmId(dialler), ids.ServerId(server), 1000)
                expected = {('tunnel', 'lost_path'): added} if added else {}
                self.assertEqual(self.counted(), expected)


if __name__ == '__main__':
    unittest.main()
