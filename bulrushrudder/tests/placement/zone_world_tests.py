"""Who waits and how many bytes cross, against the rules before.

The bounds compare policies in the same world and come from what is
required: less waiting than with constants and than with local first and a
threshold, and no bytes where zones suffice.
"""

import unittest

from bulrushrudder.tests.builders import zone_world

SERVERS = {'a': 3, 'b': 3, 'c': 3}
# Three servers of a zone complete 120 calls per second.
CAPACITY = 120
UNTIL_S = 40.0
ALL = frozenset(zone_world.ZONES)


def demand(a, b, c):
    return {'a': a, 'b': b, 'c': c}


def play_all(*changes):
    return zone_world.play_all(SERVERS, changes, UNTIL_S)


class ZoneWorldTests(unittest.TestCase):
    def check_waits(self, outcomes, zone='a'):
        """Check that callers of a zone wait less than by other rules."""
        text = {name: outcome.summary() for name, outcome in outcomes.items()}
        balanced = outcomes[zone_world.BALANCE].wait_s(zone)
        for policy in (zone_world.CONSTANTS, zone_world.THRESHOLD):
            self.assertLess(balanced, outcomes[policy].wait_s(zone), text)

    def crossed_between(self, outcome, begin_s, end_s):
        """Return the numbers of calls that crossed in a time, by pair."""
        found = {}
        for at_s, *pair in outcome.crossed_at_s:
            if begin_s <= at_s < end_s:
                found[tuple(pair)] = found.get(tuple(pair), 0) + 1
        return found

    def test_no_byte_crosses_where_zones_suffice(self):
        outcomes = play_all(zone_world.Change(0.0, demand(60, 60, 60)))
        self.assertEqual(outcomes[zone_world.BALANCE].crossing_bytes, 0)

    def test_uneven_demand_waits_less_and_goes_to_both_neighbours(self):
        outcomes = play_all(zone_world.Change(0.0, demand(170, 50, 60)))
        self.check_waits(outcomes)
        balanced = outcomes[zone_world.BALANCE]
        excess = (170 - 0.9 * CAPACITY) * UNTIL_S
        self.assertLess(sum(balanced.crossed.values()), 1.2 * excess)
        fewest = min(balanced.crossed['a', zone] for zone in 'bc')
        self.assertGreater(fewest, 0.3 * sum(balanced.crossed.values()))
        for zone in 'bc':
            self.assertLess(balanced.wait_s(zone), 0.1)

    def test_demand_at_the_limit_does_not_oscillate(self):
        outcomes = play_all(zone_world.Change(0.0, demand(113, 60, 60)))
        self.check_waits(outcomes)
        balanced = outcomes[zone_world.BALANCE]
        self.assertNotIn(('b', 'a'), balanced.crossed)
        self.assertNotIn(('c', 'a'), balanced.crossed)
        self.assertLess(len(balanced.changes), UNTIL_S / 2)

    def test_zone_that_loses_two_thirds_sends_the_rest_away(self):
        outcomes = play_all(
            zone_world.Change(0.0, demand(70, 70, 70)),
            zone_world.Change(10.0, absent=frozenset({'a0', 'a1'})),
            zone_world.Change(25.0, absent=frozenset()),
        )
        self.check_waits(outcomes)
        balanced = outcomes[zone_world.BALANCE]
        self.assertEqual(self.crossed_between(balanced, 0.0, 10.0), {})
        # The zone returns at 10% of its capacity a second.
        self.assertNotEqual(self.crossed_between(balanced, 25.0, 28.0), {})
        self.assertEqual(self.crossed_between(balanced, 37.0, 40.0), {})

    def test_clients_that_move_are_followed(self):
        outcomes = play_all(
            zone_world.Change(0.0, demand(150, 40, 60)),
            zone_world.Change(15.0, demand(40, 150, 60)),
        )
        self.check_waits(outcomes, 'a')
        self.check_waits(outcomes, 'b')
        late = self.crossed_between(
            outcomes[zone_world.BALANCE], 25.0, UNTIL_S
        )
        self.assertEqual({origin for origin, _ in late}, {'b'})

    def test_flapping_server_does_not_make_other_zones_wait(self):
        flaps = [
            zone_world.Change(
                5.0 + second,
                absent=frozenset({'a0'} if second % 2 == 0 else ()),
            )
            for second in range(20)
        ]
        outcomes = play_all(zone_world.Change(0.0, demand(85, 60, 60)), *flaps)
        self.check_waits(outcomes)
        balanced = outcomes[zone_world.BALANCE]
        self.assertLess(len(balanced.changes), 20)
        for zone in 'bc':
            self.assertLess(balanced.wait_s(zone), 0.05)

    def test_fallback_spreads_where_the_decider_is_lost(self):
        outcomes = play_all(
            zone_world.Change(0.0, demand(170, 50, 60)),
            zone_world.Change(10.0, silent=ALL),
        )
        lost = self.crossed_between(
            outcomes[zone_world.BALANCE], 15.0, UNTIL_S
        )
        constant = self.crossed_between(
            outcomes[zone_world.CONSTANTS], 15.0, UNTIL_S
        )
        # The constants send more than two thirds to one neighbour, the one
        # whose servers come first.
        self.assertGreater(
            max(constant.values()), 2 / 3 * sum(constant.values())
        )
        self.assertLess(max(lost.values()), 0.6 * sum(lost.values()))

    def test_zone_with_stale_reports_gets_no_work_of_others(self):
        outcomes = play_all(
            zone_world.Change(0.0, demand(60, 170, 50)),
            zone_world.Change(10.0, silent=frozenset({'a'})),
        )
        self.check_waits(outcomes, 'b')
        late = self.crossed_between(
            outcomes[zone_world.BALANCE], 18.0, UNTIL_S
        )
        self.assertGreater(late['b', 'c'], 5 * late.get(('b', 'a'), 0))

    def test_work_goes_elsewhere_where_a_link_is_lost(self):
        outcomes = play_all(
            zone_world.Change(0.0, demand(160, 50, 50)),
            zone_world.Change(10.0, cut=frozenset({('a', 'b')})),
        )
        self.check_waits(outcomes)
        late = self.crossed_between(
            outcomes[zone_world.BALANCE], 13.0, UNTIL_S
        )
        self.assertEqual(set(late), {('a', 'c')})

    def test_decider_that_returns_takes_over_again(self):
        outcomes = play_all(
            zone_world.Change(0.0, demand(170, 50, 60)),
            zone_world.Change(10.0, silent=ALL),
            zone_world.Change(20.0, silent=frozenset()),
        )
        self.check_waits(outcomes)


if __name__ == '__main__':
    unittest.main()
