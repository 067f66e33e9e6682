import unittest

from bulrushrudder.placement import zone_balance


def figures(now_s=0.0, **by_zone):
    """Return ZoneFigures from demand, capacity and queue by zone."""
    return [
        zone_balance.ZoneFigures(zone, *values, now_s)
        for zone, values in by_zone.items()
    ]


class ZoneBalanceTests(unittest.TestCase):
    def setUp(self):
        self.balance = zone_balance.ZoneBalance()
        self.costs = {}
        self.lost = frozenset()

    def decide(self, now_s=0.0, **by_zone):
        return self.decide_on(figures(now_s, **by_zone), now_s)

    def decide_on(self, zones, now_s):
        decision = self.balance.decide(
            zones,
            lambda one, other: self.costs.get((one, other), 0.01),
            now_s,
            self.lost,
        )
        return {(s.origin, s.target): s.share for s in decision.shares}

    def test_all_work_stays_where_zones_suffice(self):
        shares = self.decide(a=(90, 100, 0), b=(10, 100, 0))
        self.assertEqual(shares, {})

    def test_excess_goes_to_all_zones_by_what_they_have_to_spare(self):
        shares = self.decide(a=(150, 100, 0), b=(30, 100, 0), c=(60, 100, 0))
        self.assertAlmostEqual(shares['a', 'b'], 0.4 * 60 / 90)
        self.assertAlmostEqual(shares['a', 'c'], 0.4 * 30 / 90)

    def test_excess_beyond_all_capacity_stays(self):
        shares = self.decide(a=(200, 100, 0), b=(80, 100, 0))
        self.assertEqual(shares, {('a', 'b'): 10 / 200})

    def test_two_full_zones_share_what_the_third_has_to_spare(self):
        shares = self.decide(a=(150, 100, 0), b=(150, 100, 0), c=(50, 100, 0))
        self.assertAlmostEqual(shares['a', 'c'], 20 / 150)
        self.assertAlmostEqual(shares['b', 'c'], 20 / 150)

    def test_cheaper_zone_is_filled_first(self):
        self.costs['a', 'c'] = 0.05
        shares = self.decide(a=(130, 100, 0), b=(60, 100, 0), c=(0, 100, 0))
        self.assertAlmostEqual(shares['a', 'b'], 30 / 130)
        self.assertAlmostEqual(shares['a', 'c'], 10 / 130)

    def test_work_stays_where_crossing_costs_more_than_waiting(self):
        self.costs['a', 'b'] = 1.0
        self.assertEqual(self.decide(a=(110, 100, 0), b=(0, 100, 0)), {})
        shares = self.decide(0.5, a=(150, 100, 0), b=(0, 100, 0))
        self.assertIn(('a', 'b'), shares)

    def test_demand_at_the_limit_changes_nothing(self):
        changes = 0
        for step in range(60):
            demand = 94 + 4 * (step % 2)
            self.decide(step * 0.5, a=(demand, 100, 2), b=(10, 100, 0))
            changes += self.balance.decision.changed
        self.assertLessEqual(changes, 1)

    def test_zone_without_servers_sends_all(self):
        shares = self.decide(a=(80, 0, 0), b=(50, 100, 0), c=(70, 100, 0))
        self.assertAlmostEqual(sum(shares.values()), 1.0)

    def test_returning_zone_is_filled_at_stated_rate(self):
        others = {'b': (0, 200, 0)}
        self.decide(0.0, a=(80, 0, 0), **others)
        stays = []
        for second in range(1, 12):
            shares = self.decide(float(second), a=(80, 100, 0), **others)
            stays.append(80 * (1 - sum(shares.values())))
        for second, rate in enumerate(stays, start=1):
            limit = 100 * zone_balance.FILL_PER_S * second
            self.assertLessEqual(rate, limit + 0.2 * 80)
        self.assertEqual(stays[-1], 80)

    def test_flapping_zone_is_not_filled_in_between(self):
        others = {'b': (0, 200, 0)}
        for second in range(20):
            capacity = 100 if second % 2 else 0
            shares = self.decide(float(second), a=(80, capacity, 0), **others)
            if second > 0:
                self.assertGreater(sum(shares.values()), 0.75)

    def test_lost_link_is_capacity_out_of_reach(self):
        zones = {'a': (150, 100, 0), 'b': (0, 100, 0), 'c': (60, 100, 0)}
        self.decide(0.0, **zones)
        self.lost = frozenset({('a', 'b')})
        shares = self.decide(1.0, **zones)
        self.assertNotIn(('a', 'b'), shares)
        self.assertAlmostEqual(shares['a', 'c'], 30 / 150)

    def test_stale_zone_gets_no_work_and_keeps_its_shares_for_a_while(self):
        zones = {'a': (150, 100, 0), 'b': (0, 100, 0), 'c': (0, 100, 0)}
        before = self.decide(0.0, **zones)
        stale = figures(0.0, a=zones['a'])
        fresh = figures(8.0, b=zones['b'], c=(150, 100, 0))
        shares = self.decide_on([*stale, *fresh], 8.0)
        self.assertEqual(shares['a', 'b'], before['a', 'b'])
        self.assertNotIn(('c', 'a'), shares)
        fresh = figures(12.0, b=zones['b'], c=(150, 100, 0))
        shares = self.decide_on([*stale, *fresh], 12.0)
        self.assertNotIn(('a', 'b'), shares)

    def test_zone_that_is_gone_leaves_no_share(self):
        self.decide(a=(150, 100, 0), b=(0, 100, 0))
        self.assertEqual(self.decide(1.0, a=(150, 100, 0)), {})


class ShareDrawTests(unittest.TestCase):
    def test_meets_shares_within_one_request(self):
        draw = zone_balance.ShareDraw()
        targets = {'a': 0.5, 'b': 0.3, 'c': 0.2}
        drawn = [draw.draw('a', targets) for _ in range(100)]
        for zone, share in targets.items():
            self.assertAlmostEqual(drawn.count(zone), 100 * share, delta=1)


if __name__ == '__main__':
    unittest.main()
