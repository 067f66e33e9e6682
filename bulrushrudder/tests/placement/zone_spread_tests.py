import collections
import unittest

from bulrushrudder.core import ids
from bulrushrudder.placement import server_selector
from bulrushrudder.placement import service_zones
from bulrushrudder.placement import zone_balance
from bulrushrudder.placement import zone_spread
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import zone_world

SHARES = (
    zone_balance.Share(
        ids.Zone('a'),
        ids.Zone('b'),
        0.5,
        zone_balance.Reason.OVERLOAD,
        worth_s=0.1,
    ),
)


def selector(vm, zones):
    """Return a selector of a VM in zone a, with a server in each zone."""
    spread = zone_spread.ZoneSpread(vm, ids.Zone('a'), zone_world.COSTS)
    chosen = server_selector.ServerSelector(ids.Zone('a'), spread)
    chosen.update_servers(
        [fleet.server(f'{z}1', 'service', zone=ids.Zone(z)) for z in zones]
    )
    return spread, chosen


class ZoneSpreadTests(unittest.TestCase):
    def test_without_word_vms_choose_different_neighbours(self):
        first = collections.Counter(
            selector(f'vm{number}', 'bcd')[1].choose(0.0)
            for number in range(60)
        )
        self.assertEqual(first.keys(), {'b1', 'c1', 'd1'})
        self.assertGreater(min(first.values()), 10)

    def test_follows_word_until_it_is_stale(self):
        spread, chosen = selector('vm1', 'abc')
        spread.update(SHARES, until_s=3.0)
        fresh = [chosen.choose(1.0) for _ in range(10)]
        self.assertEqual(fresh.count('b1'), 5)
        stale = [chosen.choose(3.1) for _ in range(10)]
        self.assertEqual(stale, ['a1'] * 10)
        self.assertEqual(spread.reason('b', 3.1), 'fallback')

    def test_call_whose_bytes_cost_more_than_its_wait_stays(self):
        spread, chosen = selector('vm1', 'abc')
        spread.update(SHARES, until_s=3.0)
        ranked = [chosen.ranked(1.0, size=200_000)[0] for _ in range(10)]
        self.assertEqual(ranked, ['a1'] * 10)


class SpreadSelectorTests(unittest.TestCase):
    """With prices, calls went to servers that fail or reject them."""

    def test_failing_or_rejecting_server_is_avoided(self):
        results = server_selector.CallResult
        for call_result in (results.FAILED, results.REJECTED):
            with self.subTest(call_result):
                selector = server_selector.ServerSelector(
                    ids.Zone('a'), zone_world.new_spread('vm1', 'a')
                )
                found = [
                    fleet.server(f'a{number}', 'service', zone=ids.Zone('a'))
                    for number in range(2)
                ]
                selector.update_servers(found)
                first = selector.choose(0.0)
                selector.record_call_start(first, 1, 0.0)
                selector.record_call_end(first, 1, call_result, 0.0)
                self.assertNotEqual(selector.choose(0.01), first)


class ServiceZonesTests(unittest.TestCase):
    """Figures are measured, not counted, and old ones are not used."""

    def setUp(self):
        self.zones_with_vms = 'ab'
        self.zones = service_zones.ServiceZones(zone_world.COSTS)
        self.servers = [
            fleet.server(f'{z}1', 'service', zone=ids.Zone(z), places=4)
            for z in 'ab'
        ]

    def report(self, now_s, zone, calls_per_s, *calls, unreachable=()):
        load = service_zones.ServiceLoad(
            ids.Zone(zone),
            calls_per_s,
            7000.0,
            tuple(service_zones.ServerCalls(*call) for call in calls),
            unreachable,
        )
        vms = {f'vm-{name}' for name in self.zones_with_vms}
        return self.zones.report(f'vm-{zone}', load, self.servers, vms, now_s)

    def figures(self, now_s):
        figures = self.zones.figures(self.servers, now_s)
        return {f.zone: f for f in figures}

    def test_slow_server_has_less_capacity(self):
        self.report(0.0, 'a', 20.0, ('a1', 2.0, 0.1), ('b1', 2.0, 0.25))
        figures = self.figures(0.0)
        self.assertAlmostEqual(figures['a'].capacity, 40.0)
        self.assertAlmostEqual(figures['b'].capacity, 16.0)

    def test_waiting_in_the_server_does_not_count_as_slowness(self):
        self.report(0.0, 'a', 50.0, ('a1', 8.0, 0.2))
        figures = self.figures(0.0)
        self.assertAlmostEqual(figures['a'].capacity, 40.0)
        self.assertAlmostEqual(figures['a'].queue, 4.0)

    def test_calls_of_vm_that_is_silent_are_not_counted(self):
        self.report(0.0, 'a', 50.0)
        for second in range(1, 9):
            self.report(float(second), 'b', 10.0)
        self.assertLess(self.figures(8.0)['a'].demand, 1.0)

    def test_zone_whose_vms_are_silent_stays_stale(self):
        self.report(0.0, 'b', 10.0)
        for second in range(1, 30):
            decision = self.report(float(second), 'a', 100.0)
        self.assertEqual(self.figures(29.0)['b'].measured_s, 0.0)
        self.assertEqual(decision.shares, ())

    def test_zone_whose_vms_are_gone_or_idle_is_not_stale(self):
        for change in ('gone', 'idle'):
            with self.subTest(change):
                self.setUp()
                self.report(0.0, 'b', 0.0 if change == 'idle' else 10.0)
                if change == 'gone':
                    self.zones_with_vms = 'a'
                for second in range(1, 30):
                    decision = self.report(float(second), 'a', 100.0)
                    if second > 1:
                        self.assertNotEqual(decision.shares, ())

    def test_zone_that_no_vm_reaches_gets_nothing(self):
        decision = self.report(0.0, 'a', 100.0, unreachable=('b',))
        self.assertEqual(decision.shares, ())
        decision = self.report(1.0, 'a', 100.0)
        self.assertNotEqual(decision.shares, ())


if __name__ == '__main__':
    unittest.main()
