"""Which KV caches cross zones, against the rules before.

Each test plays the constants of before and local first in the same world.
"""

import unittest

from bulrushrudder.placement import crossing
from bulrushrudder.tests.builders import model_zones

EVEN = {'a': (2, 2), 'b': (2, 2), 'c': (2, 2)}
UNTIL_S = 40.0
MAX_WAIT_S = 0.05


class ModelZonesTests(unittest.TestCase):
    def play(self, pool, demand_at, pools_at=()):
        """Return the outcomes with constants, local first and prices."""
        outcomes = [
            model_zones.ModelWorld(costs, pool, demand_at, pools_at).play(
                UNTIL_S
            )
            for costs in (
                crossing.FIXED,
                model_zones.LOCAL_FIRST,
                model_zones.PRICED,
            )
        ]
        constant, local, priced = outcomes
        text = [outcome.summary() for outcome in outcomes]
        for zone in priced.waits_by_zone:
            self.assertLess(priced.wait_s(zone), MAX_WAIT_S, text)
        self.assertEqual(sum(priced.refused.values()), 0, text)
        self.assertLess(priced.cache_bytes, 0.1 * local.cache_bytes, text)
        self.assertLess(local.cache_bytes, constant.cache_bytes, text)
        return priced

    def test_uneven_demand_sends_prompts_and_not_caches(self):
        priced = self.play(EVEN, [(0.0, {'a': 20, 'b': 6, 'c': 8})])
        fewest = min(priced.decodes['a', zone] for zone in 'bc')
        self.assertGreater(fewest, 50)
        self.assertLess(priced.decisions, UNTIL_S / 2)

    def test_zone_without_decode_server_reads_its_prompts_elsewhere(self):
        pool = {'a': (2, 0), 'b': (2, 3), 'c': (2, 3)}
        priced = self.play(pool, [(0.0, {'a': 8, 'b': 8, 'c': 8})])
        fewest = min(priced.decodes['a', zone] for zone in 'bc')
        self.assertGreater(fewest, 100)

    def test_zone_that_loses_two_thirds_of_its_decode_servers(self):
        whole = {'a': (2, 3), 'b': (2, 3), 'c': (2, 3)}
        self.play(
            whole,
            [(0.0, {'a': 14, 'b': 14, 'c': 14})],
            [(10.0, {**whole, 'a': (2, 1)}), (25.0, whole)],
        )

    def test_clients_that_move_are_followed(self):
        self.play(
            EVEN,
            [
                (0.0, {'a': 18, 'b': 6, 'c': 8}),
                (20.0, {'a': 6, 'b': 18, 'c': 8}),
            ],
        )


if __name__ == '__main__':
    unittest.main()
