import unittest

from bulrushrudder.backpressure import cold_pace
from bulrushrudder.placement import actions
from bulrushrudder.placement import contacts
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import events
from bulrushrudder.tests.builders import cold_fleet
from bulrushrudder.tests.builders import places

BOUND = 23
DEMAND_PER_S = 80.0
SEEDS = 20
TICK_S = 0.05
# A prefill server takes such a prompt in less than the gaps.
PROMPT_TOKENS = 100


class OneSecondTests(unittest.TestCase):
    # Guards against a cold server that crashes, because it gets more in
    # some second than it was allowed.

    def most(self, fleet):
        return cold_fleet.most_in(fleet.sent, 1.0)

    def test_bound_holds_and_rate_is_used_by_one_coordinator(self):
        for seed in range(SEEDS):
            fleet = cold_fleet.ColdFleet(seed, DEMAND_PER_S)
            fleet.open('x', elected=True)
            fleet.run_until(12.0)
            self.assertLessEqual(self.most(fleet), BOUND)
            settled = [t for t in fleet.sent if t >= 2.0]
            self.assertGreater(len(settled), 0.8 * 10 * 12.0)

    def test_bound_holds_when_another_coordinator_takes_over(self):
        for seed in range(SEEDS):
            fleet = cold_fleet.ColdFleet(seed, DEMAND_PER_S)
            fleet.open('x', elected=True)
            fleet.run_until(4.0 + seed / SEEDS)
            fleet.close('x')
            fleet.open('y', elected=True)
            fleet.run_until(10.0)
            self.assertLessEqual(self.most(fleet), BOUND)

    def test_bound_holds_while_a_cut_off_coordinator_goes_on(self):
        for seed in range(SEEDS):
            fleet = cold_fleet.ColdFleet(seed, DEMAND_PER_S)
            fleet.open('x', elected=True)
            fleet.run_until(4.0)
            fleet.cut('x')
            fleet.run_until(4.0 + seed / SEEDS)
            fleet.open('y', elected=True)
            fleet.run_until(15.0)
            self.assertLessEqual(self.most(fleet), BOUND)

    def test_bound_holds_with_two_substitutes_beside_the_one_in_charge(self):
        for seed in range(SEEDS):
            fleet = cold_fleet.ColdFleet(seed, DEMAND_PER_S)
            fleet.open('x', elected=True)
            fleet.open('y', elected=False)
            fleet.open('z', elected=False)
            fleet.run_until(10.0)
            self.assertLessEqual(self.most(fleet), BOUND)

    def test_paces_sum_up_to_no_more_than_the_bound(self):
        for overrun, tolerance, per_s in (
            (1.5, 5.0, 12.0),
            (1.5, 5.0, 2.0),
            (1.2, 8.0, 40.0),
            (3.0, 0.0, 6.0),
        ):
            bounds = cold_pace.ColdBounds(overrun, tolerance)
            span_s = 1.0 + cold_pace.MAX_LATENESS_S
            in_charge = bounds.pace_in_charge(per_s) * span_s + 1.0
            others = bounds.pace_of_others(per_s) * span_s + 1.0
            beside = bounds.pace_beside(per_s) * span_s + 1.0
            most = bounds.most(per_s) + 1e-9
            self.assertLessEqual(in_charge + 2 * others, most)
            self.assertLessEqual(in_charge + beside, most)


class GrantTests(unittest.TestCase):
    def setUp(self):
        self.coordinator = coordinator.Coordinator(
            max_booked_ahead=0, cold_bounds=cold_fleet.BOUNDS
        )
        self.handle(cold_fleet.contact())

    def handle(self, event, now_s=0.0):
        return self.coordinator.handle(event, now_s)

    def grants_during(self, start_s, end_s, gap_s, held_s=0.0):
        """Request places at a steady pace; return times and grants.

        :param held_s: seconds after which a place is released.
        """
        granted = []
        released = 0
        for step in range(round((end_s - start_s) / gap_s)):
            now_s = start_s + step * gap_s
            number = round(now_s * 1000) + 1
            request = places.placement_request(
                number, prompt_tokens=PROMPT_TOKENS
            )
            decided = self.handle(request, now_s)
            granted += [(now_s, grant) for grant in places.grants(decided)]
            while (
                released < len(granted)
                and granted[released][0] + held_s <= now_s
            ):
                hold = places.hold_id(granted[released][1].call)
                decided = self.handle(events.PlaceReleased(hold), now_s)
                granted += [(now_s, grant) for grant in places.grants(decided)]
                released += 1
        return granted

    def servers(self, **colds):
        return events.ServersChanged(
            tuple(
                cold_fleet.cold_server(
                    name.replace('_', '-'), cold, kind=name[:-2]
                )
                for name, cold in colds.items()
            )
        )

    def test_cold_servers_are_granted_at_their_pace_only(self):
        self.handle(self.servers(prefill_1=False, decode_1=True))
        granted = self.grants_during(0.0, 5.0, 0.02)
        times = [now_s for now_s, _ in granted]
        self.assertLessEqual(cold_fleet.most_in(times, 1.0), 13)
        self.assertGreaterEqual(len(times), 45)

    def test_warm_servers_take_what_is_beyond_the_pace(self):
        self.handle(
            self.servers(prefill_1=False, decode_1=True, decode_2=False)
        )
        granted = self.grants_during(0.0, 2.0, 0.05)
        self.assertEqual(len(granted), 40)

    # Guards against a restored zone whose first servers get all requests,
    # because they are the emptiest.
    def test_restored_servers_fill_evenly_at_their_pace(self):
        self.handle(
            self.servers(
                prefill_1=False,
                decode_1=False,
                decode_2=True,
                decode_3=True,
                decode_4=True,
            )
        )
        granted = self.grants_during(0.0, 3.0, 0.025, held_s=1.0)
        self.assertEqual(len(granted), 120)
        for number in (2, 3, 4):
            times = [t for t, g in granted if g.decode == f'decode-{number}']
            self.assertLessEqual(cold_fleet.most_in(times, 1.0), 13)
            self.assertGreater(len(times), 24)

    def test_server_that_says_it_is_warm_is_not_held_back(self):
        self.handle(self.servers(prefill_1=False, decode_1=True))
        self.handle(self.servers(prefill_1=False, decode_1=False), 1.0)
        self.assertEqual(len(self.grants_during(1.0, 3.0, 0.05)), 40)
        (permit,) = self.handle(cold_fleet.cold_call(cold=False), 3.0)
        self.assertEqual(permit, actions.GrantCall(1, 'decode-1', 0.0))

    # Guards against a server that turns cold right after many requests and
    # gets more of them in the same second.
    def test_server_that_turns_cold_under_load_pauses_for_a_second(self):
        self.handle(self.servers(prefill_1=False, decode_1=False))
        self.assertEqual(len(self.grants_during(0.0, 1.0, 0.05)), 20)
        self.handle(self.servers(prefill_1=False, decode_1=True), 1.0)
        self.assertEqual(self.grants_during(1.0, 1.95, 0.05), [])

    def test_turn_keeps_what_was_measured_of_a_decode_server(self):
        self.handle(self.servers(prefill_1=False, decode_1=False))
        pool = self.coordinator._decodes
        before = pool.by_id['decode-1']
        self.handle(self.servers(prefill_1=False, decode_1=True))
        self.assertIs(pool.by_id['decode-1'], before)

    def test_all_servers_are_paced_once_the_view_is_outdated(self):
        self.handle(self.servers(prefill_1=False, decode_1=False))
        self.handle(cold_fleet.contact(sole=False, heard=False))
        times = [now_s for now_s, _ in self.grants_during(0.0, 5.0, 0.02)]
        self.assertLessEqual(cold_fleet.most_in(times, 1.0), 13)

    def test_nothing_is_paced_without_bounds(self):
        unbounded = coordinator.Coordinator(max_booked_ahead=0)
        unbounded.handle(self.servers(prefill_1=True, decode_1=True), 0.0)
        for number in range(1, 6):
            request = places.placement_request(
                number, prompt_tokens=PROMPT_TOKENS
            )
            decided = unbounded.handle(request, number * TICK_S)
            self.assertEqual(len(places.grants(decided)), 1)
        (permit,) = unbounded.handle(cold_fleet.cold_call(), 0.0)
        self.assertEqual(permit.wait_s, 0.0)

    def test_coordinator_that_knows_it_warm_believes_a_vm_that_knows_more(
        self,
    ):
        self.handle(self.servers(decode_1=False))
        (permit,) = self.handle(cold_fleet.cold_call(cold=True))
        self.assertGreater(permit.wait_s, 0.0)

    def test_request_whose_turn_comes_too_late_is_deferred(self):
        self.handle(self.servers(decode_1=True))
        decided = [
            self.handle(cold_fleet.cold_call(number))[0] for number in range(9)
        ]
        self.assertIsInstance(decided[0], actions.GrantCall)
        self.assertIsInstance(decided[-1], actions.DeferCall)

    # Guards against limits of cold servers that are committed like those
    # that servers state, and outlast the cold time.
    def test_pace_is_not_reported_as_a_stated_limit(self):
        self.handle(self.servers(decode_1=True))
        self.handle(cold_fleet.cold_call())
        self.assertEqual(self.coordinator.limits_by_id, {})


class ContactTests(unittest.TestCase):
    def test_coordinator_counts_as_sole_once_settled_and_in_contact(self):
        contact = contacts.Contact()
        contact.elect(True, 5.0)
        self.assertEqual(
            contact.changes(0.1, 5.0), (cold_fleet.contact(sole=False),)
        )
        settled_s = 5.0 + contacts.SETTLED_S
        self.assertEqual(
            contact.changes(0.1, settled_s), (cold_fleet.contact(),)
        )
        self.assertEqual(contact.changes(0.2, settled_s), ())
        self.assertEqual(
            contact.changes(1.1, settled_s), (cold_fleet.contact(sole=False),)
        )

    def test_election_by_a_later_view_ends_the_charge(self):
        contact = contacts.Contact()
        contact.elect(True, 0.0)
        contact.elect(False, 3.0)
        (change,) = contact.changes(0.1, 3.0)
        self.assertEqual(change, cold_fleet.contact(sole=False, elected=False))
