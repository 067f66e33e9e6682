import unittest

from bulrushrudder.core import outcomes
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import places


class CoordinatorTests(unittest.TestCase):
    def setUp(self):
        self.coordinator = coordinator.Coordinator(max_booked_ahead=0)

    def handle(self, event, now_s=0.0):
        return self.coordinator.handle(event, now_s)

    def test_grants_a_prefill_and_a_decode_server(self):
        self.handle(places.servers_changed())
        (grant,) = self.handle(places.placement_request())
        self.assertEqual(
            (grant.prefill, grant.decode), ('prefill-0', 'decode-0')
        )

    def test_grants_interactive_before_deferred(self):
        self.handle(places.servers_changed(places=1))
        self.handle(places.placement_request(1, interactive=False))
        self.handle(
            places.placement_request(2, interactive=False, first_token_s=50.0)
        )
        self.handle(places.placement_request(3))
        (grant,) = self.handle(events.PlaceReleased(places.hold_id(1)), 1.0)
        self.assertEqual(grant.call, 3)

    def test_refuses_unreachable_target_without_prefill(self):
        self.handle(places.servers_changed())
        self.handle(events.LoadReported('prefill-0', 1, 1, 0, 0.0, 1000.0))
        (refusal,) = self.handle(
            places.placement_request(prompt_tokens=2000, first_token_s=1.5)
        )
        self.assertEqual(refusal.reason, outcomes.Reason.TARGET_UNREACHABLE)
        self.assertEqual(self.coordinator.allocations, ())

    def test_released_queued_request_gets_no_grant(self):
        self.handle(places.servers_changed(places=1))
        self.handle(places.placement_request(1))
        self.handle(places.placement_request(2))
        self.handle(events.PlaceReleased(places.hold_id(2)), 1.0)
        actions = self.handle(events.PlaceReleased(places.hold_id(1)), 1.0)
        self.assertEqual(actions, [])

    def test_queued_request_gets_no_departed_server(self):
        self.handle(places.servers_changed(places=1))
        self.handle(places.placement_request(1))
        self.handle(places.placement_request(2))
        self.handle(events.ServersChanged(()), 1.0)
        actions = self.handle(events.PlaceReleased(places.hold_id(1)), 1.0)
        self.assertEqual(actions, [])

    def test_keeps_holds_when_server_leaves_and_rejoins(self):
        self.handle(places.servers_changed(places=1))
        self.handle(places.placement_request(1))
        self.handle(events.ServersChanged(()), 1.0)
        self.handle(places.servers_changed(places=1), 1.0)
        self.assertEqual(self.handle(places.placement_request(2), 1.0), [])

    def test_prefers_servers_in_callers_zone(self):
        self.handle(places.servers_changed(prefills=2, decodes=2))
        (grant,) = self.handle(places.placement_request(zone='b'))
        self.assertEqual(
            (grant.prefill, grant.decode), ('prefill-1', 'decode-1')
        )

    # Load: 40 requests a second on two prefill servers, one of which
    # rejects all calls for 4 s, as during a change of its kind. Without a
    # pause all 160 requests tried it first.
    def test_rejecting_prefill_server_gets_few_requests(self):
        self.handle(places.servers_changed(2, 2))
        rejected = 0
        for number in range(160):
            now_s = number * 0.025
            request = places.placement_request(number, prompt_tokens=100)
            for grant in places.grants(self.handle(request, now_s)):
                failed = grant.prefill == 'prefill-0'
                rejected += failed
                released = events.PlaceReleased(
                    grant.hold, prefill_failed=failed
                )
                self.handle(released, now_s + 0.002)
        self.assertLessEqual(rejected, 8)

    # Load: 3,200 prompt tokens and 680 output tokens on 15 prefill and 30
    # decode servers, every third of which takes 2.4 times as long. The split
    # followed the server of each kind that had joined first: 20 or 8 servers
    # prefilled, and 8 of them serve half of what 15 serve.
    def test_split_of_pool_does_not_follow_one_server(self):
        pool = []
        for number in range(45):
            slowdown = (0.7, 0.7, 1.7)[number % 3]
            speed = servers.InitialSpeed(
                prefill_base_s=0.06,
                prefill_tokens_per_s=33_000.0 / slowdown,
                token_s=0.0042 * slowdown,
            )
            pool.append(
                fleet.server(
                    f's{number}',
                    'prefill' if number < 15 else 'decode',
                    memory_tokens=29_000,
                    initial_speed=speed,
                )
            )
        slow_prefill_first = [pool[2], pool[15], *pool]
        slow_decode_first = [pool[0], pool[17], *pool]
        by_id = {known.id: known for known in pool}
        for ordered in (slow_prefill_first, slow_decode_first):
            with self.subTest(first=ordered[0].id):
                self.setUp()
                self.handle(events.ServersChanged(tuple(ordered)))
                granted = []
                for number in range(10):
                    request = places.placement_request(
                        number, prompt_tokens=3200, output_tokens=680
                    )
                    granted += places.grants(self.handle(request))
                self.assertIsNone(self.coordinator.wanted_prefills())
                for grant in granted:
                    self.handle(self.measured(grant, by_id))
                wanted = self.coordinator.wanted_prefills()
                self.assertEqual(wanted, 15)

    def measured(self, grant, servers_by_id):
        """Return the release of a request that ran at the stated speeds."""
        prefill = servers_by_id[grant.prefill].initial_speed
        decode = servers_by_id[grant.decode].initial_speed
        return events.PlaceReleased(
            grant.hold,
            prefill.prefill_base_s + 3200 / prefill.prefill_tokens_per_s,
            decode.token_s,
        )

    def test_prefers_prefill_server_with_cached_prefix(self):
        self.handle(places.servers_changed(prefills=2, decodes=2))
        prefix = (11, 12, 13)
        (first,) = self.handle(
            places.placement_request(1, zone='b', prefix=prefix)
        )
        (second,) = self.handle(
            places.placement_request(
                2, zone='a', prefix=prefix, prompt_tokens=1100
            ),
            9.0,
        )
        self.assertEqual(second.prefill, first.prefill)

    def test_between_token_target_limits_grants_on_server(self):
        self.handle(places.servers_changed())
        for sequence, running in enumerate((2, 4, 6, 8)):
            step_s = 0.01 * running
            self.handle(
                events.LoadReported(
                    'decode-0', 1, sequence, running, step_s, 0.0
                )
            )
        grants = []
        for number in range(1, 12):
            request = places.placement_request(number, between_tokens_s=0.055)
            grants += places.grants(self.handle(request, number * 2.0))
        self.assertEqual(len(grants), 5)

    def test_exclusive_request_drains_server_and_keeps_it(self):
        self.handle(places.servers_changed())
        self.handle(places.placement_request(1))
        alone = places.placement_request(2, isolation=events.Isolation.ALONE)
        self.assertEqual(self.handle(alone, 1.0), [])
        self.assertEqual(self.handle(places.placement_request(3), 1.0), [])
        grants = self.handle(events.PlaceReleased(places.hold_id(1)), 2.0)
        self.assertEqual([grant.call for grant in grants], [2])
        self.assertEqual(self.handle(events.Ticked(), 4.0), [])

    def test_new_coordinator_grants_nothing_until_ready(self):
        new_coordinator = coordinator.Coordinator(ready_s=0.5)
        new_coordinator.handle(places.servers_changed(), 0.0)
        self.assertEqual(
            new_coordinator.handle(places.placement_request(), 0.1), []
        )
        self.assertEqual(len(new_coordinator.handle(events.Ticked(), 0.5)), 1)

    def test_counts_restored_holds_when_server_joins(self):
        allocation = events.Allocation(
            hold=places.hold_id(1),
            account='acme',
            prefill='prefill-0',
            decode='decode-0',
            prompt_tokens=100,
            output_tokens=100,
            isolation=events.Isolation.NONE,
        )
        self.handle(events.AllocationsRestored((allocation,)))
        self.handle(places.servers_changed())
        alone = places.placement_request(2, isolation=events.Isolation.ALONE)
        self.assertEqual(self.handle(alone, 0.1), [])
        grants = self.handle(events.PlaceReleased(places.hold_id(1)), 0.2)
        self.assertEqual([grant.call for grant in grants], [2])


if __name__ == '__main__':
    unittest.main()
