import random
import unittest

from bulrushrudder.core import ids
from bulrushrudder.placement import actions
from bulrushrudder.placement import choice
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import crossing
from bulrushrudder.placement import decodes
from bulrushrudder.placement import events
from bulrushrudder.placement import prefills
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import constant_crossing
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import places

ZONES = ('a', 'b', 'c')
# 100 MB of KV cache for 1,000 tokens cost what 100 ms of waiting are worth.
COSTS = crossing.ByteCosts(1e-9, 5e-9, 1.0, 100_000.0, (('c', 'far'),))
# An answer of 200 tokens takes a second.
SPEED = servers.InitialSpeed(prefill_tokens_per_s=10_000.0, token_s=0.005)


class SameChoiceTests(unittest.TestCase):
    """Without prices, other servers than before would be chosen."""

    def test_chooses_as_with_constant_cost(self):
        chosen = 0
        for seed in range(20):
            with self.subTest(seed=seed):
                chosen += self.compare(random.Random(seed))
        self.assertGreater(chosen, 1000)

    def compare(self, rng):
        """Compare the choices on random pools; return their number."""
        prefill_pool = prefills.PrefillPool()
        decode_pool = decodes.DecodePool(3)
        for number in range(12):
            kind = 'prefill' if number % 3 == 0 else 'decode'
            server = fleet.server(
                f'{kind}-{number}',
                kind,
                zone=ids.Zone(rng.choice(ZONES)),
                places=rng.randrange(4, 12),
                link_tokens_per_s=rng.choice((0.0, 1e5, 1e6)),
            )
            pool = prefill_pool if kind == 'prefill' else decode_pool
            pool.join(server)
        chosen = 0
        for number in range(100):
            now_s = number * 0.05
            request = places.placement_request(
                number,
                zone=ids.Zone(rng.choice(ZONES)),
                prompt_tokens=rng.randrange(100, 4000),
            )
            expected = constant_crossing.choose(
                request, prefill_pool, decode_pool, now_s
            )
            placement = choice.choose(
                request, prefill_pool, decode_pool, choice.Constraints(), now_s
            )
            if expected is None:
                self.assertIsInstance(placement, choice.Blocked)
                continue
            prefill = placement.prefill.prefill_server.server.id
            decode = placement.decode.server.id
            self.assertEqual((prefill, decode), expected)
            chosen += 1
            choice.book(placement, prefill_pool, request)
            allocation = events.Allocation(
                request.hold, 'acme', prefill, decode, 100, 10
            )
            decode_pool.allocate(placement.decode, allocation, 0.1, now_s)
        return chosen


class LegsTests(unittest.TestCase):
    def test_cache_costs_more_than_prompt_and_answer(self):
        request = places.placement_request()
        near = crossing.placement_s(COSTS, request, 'b', 'b')
        split = crossing.placement_s(COSTS, request, 'a', 'b')
        self.assertLess(near, 0.01)
        self.assertGreater(split, 0.1)

    def test_other_region_costs_its_own_price(self):
        near = crossing.leg_s(COSTS, 'a', 'b', 10**9)
        far = crossing.leg_s(COSTS, 'a', 'c', 10**9)
        self.assertAlmostEqual(near, 1.0 + crossing.ROUND_TRIP_S)
        self.assertAlmostEqual(far, 5.0 + crossing.ROUND_TRIP_S)

    def test_tunnel_through_third_zone_costs_both_legs(self):
        direct = crossing.leg_s(COSTS, 'a', 'a', 10**9)
        tunnelled = crossing.leg_s(COSTS, 'a', 'a', 10**9, via='b')
        self.assertEqual(direct, 0.0)
        self.assertGreater(tunnelled, 2.0)


class PricedCoordinatorTests(unittest.TestCase):
    """A KV cache was sent between zones to save a few milliseconds."""

    def coordinator(self, costs, prefill_zones, decode_zones, places_=1):
        granting = coordinator.Coordinator(max_booked_ahead=0, costs=costs)
        joined = [
            fleet.server(
                f'{kind}-{zone}',
                kind,
                zone=zone,
                places=places_,
                initial_speed=SPEED,
            )
            for kind, zones in (
                ('prefill', prefill_zones),
                ('decode', decode_zones),
            )
            for zone in zones
        ]
        granting.handle(events.ServersChanged(tuple(joined)), 0.0)
        return granting

    def ask(self, granting, number, now_s, **changes):
        request = places.placement_request(number, **changes)
        return [
            (grant.prefill, grant.decode)
            for grant in places.grants(granting.handle(request, now_s))
        ]

    def test_prefill_is_where_decode_is(self):
        for costs, expected in (
            (crossing.FIXED, ('prefill-a', 'decode-b')),
            (COSTS, ('prefill-b', 'decode-b')),
        ):
            with self.subTest(costs=costs):
                granting = self.coordinator(costs, 'ab', 'b')
                # The first prefill occupies the server of zone b, so that
                # the one in zone a would be free some 20 ms earlier.
                self.ask(granting, 1, 0.0, zone='b', prompt_tokens=400)
                hold = events.PlaceReleased(places.hold_id(1))
                granting.handle(hold, 0.02)
                self.assertEqual(self.ask(granting, 2, 0.02), [expected])

    def test_waits_for_own_zone_until_crossing_is_worth_it(self):
        far = crossing.ByteCosts(1e-6, 1e-6, 1.0)
        granting = self.coordinator(far, 'ab', 'ab', places_=8)
        for number in range(8):
            self.assertEqual(
                self.ask(granting, number, number * 0.5),
                [('prefill-a', 'decode-a')],
            )
        # Prompt and answer cost 24 ms, a place is expected after 125 ms.
        self.assertEqual(
            self.ask(granting, 8, 4.0), [('prefill-b', 'decode-b')]
        )

    def test_crosses_only_after_long_wait_where_bytes_are_dear(self):
        dear = crossing.ByteCosts(2e-4, 2e-4, 1.0)
        granting = self.coordinator(dear, 'ab', 'ab')
        self.ask(granting, 1, 0.0, patience_s=60.0)
        # 24 kB cost 4.8 s, a place is expected after 20 s; without a
        # figure of the zone, the caller would wait for it alone.
        granted = self.ask(granting, 2, 1.0, output_tokens=10_000)
        self.assertEqual(granted, [])
        later = granting.handle(events.Ticked(), 4.9)
        self.assertEqual(places.grants(later), [])

    def test_request_without_server_in_its_zone_is_served_at_once(self):
        dear = crossing.ByteCosts(1.0, 1.0, 1.0)
        granting = self.coordinator(dear, 'bc', 'bc')
        self.assertEqual(len(self.ask(granting, 1, 0.0)), 1)

    def test_overflow_goes_to_all_neighbours(self):
        granting = self.coordinator(COSTS, 'abd', 'abd', places_=8)
        crossed = []
        decided = []
        for number in range(600):
            now_s = number * 0.02
            request = places.placement_request(
                number, patience_s=1.0, prompt_tokens=50
            )
            done = granting.handle(request, now_s)
            decided += [a for a in done if isinstance(a, actions.ZonesDecided)]
            for grant in places.grants(done):
                crossed.append(grant.decode)
            if number >= 20:
                granting.handle(
                    events.PlaceReleased(places.hold_id(number - 20)), now_s
                )
        self.assertTrue(decided)
        self.assertGreater(crossed.count('decode-b'), 50)
        self.assertGreater(crossed.count('decode-d'), 50)


if __name__ == '__main__':
    unittest.main()
