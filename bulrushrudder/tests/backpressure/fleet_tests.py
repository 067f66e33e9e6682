import unittest

from bulrushrudder.tests.builders import limited_fleet

SEEDS = range(8)
SECONDS = 40.0
WINDOW_S = 4.0
LIMITS_BY_ID = {'s-1': 0.8, 's-2': 2.8, 's-3': 12.0}


class LimitedFleetTests(unittest.TestCase):
    def test_all_vms_together_keep_to_the_limits_of_servers(self):
        for seed in SEEDS:
            for vms in (2, 9, 60):
                fleet = limited_fleet.LimitedFleet(seed, vms, 60.0)
                fleet.run(LIMITS_BY_ID, SECONDS)
                for server_id, limit in LIMITS_BY_ID.items():
                    allowed = 1.5 * limit * WINDOW_S + 5
                    most = fleet.most_in(server_id, WINDOW_S)
                    with self.subTest(seed=seed, vms=vms, server=server_id):
                        self.assertLessEqual(most, allowed)
                        self.assertGreaterEqual(most, limit * WINDOW_S * 0.8)

    def test_servers_get_all_requests_after_their_limits_have_ended(self):
        fleet = limited_fleet.LimitedFleet(1, 9, 60.0)
        fleet.run(LIMITS_BY_ID, 10.0)
        for server_id in LIMITS_BY_ID:
            fleet.end_limit(server_id)
        fleet.run(dict.fromkeys(LIMITS_BY_ID), 40.0)
        late = [now_s for _, _, now_s in fleet.arrivals if now_s > 30.0]
        self.assertGreater(len(late), 500)
