import unittest

from bulrushrudder.benchmarks import slopes
from bulrushrudder.capacity import budgets
from bulrushrudder.capacity import memory
from bulrushrudder.capacity import samples
from bulrushrudder.capacity import target
from bulrushrudder.capacity import traffic

SIZES = (200, 400, 800)
INTENTS_PER_DAY = target.INTENTS_PER_S * target.DAY_S


def fit_slope(build):
    values = [
        memory.allocated(lambda size=size: build(size)) for size in SIZES
    ]
    return slopes.fit(SIZES, values)


class TrafficTests(unittest.TestCase):
    def test_each_role_keeps_to_its_share_of_a_node(self):
        totals = budgets.traffic_by_role(traffic.node_flows())
        for role, bytes_per_s in totals.items():
            with self.subTest(role):
                share = budgets.BYTES_PER_S_BY_ROLE[role]
                self.assertLessEqual(bytes_per_s, share)

    def test_sum_of_shares_is_within_budget(self):
        shares = sum(budgets.BYTES_PER_S_BY_ROLE.values())
        self.assertLessEqual(shares, target.NODE_BYTES_PER_S * 1.0001)


class MemoryTests(unittest.TestCase):
    def test_state_keeps_to_its_share_of_a_node(self):
        cases = (
            (samples.state_of_accounts, target.ACCOUNTS, 'accounts'),
            (samples.state_of_servers, target.BACKEND_SERVERS, 'servers'),
            (samples.state_of_vms, target.NODES, 'vms'),
            (samples.state_of_intents, INTENTS_PER_DAY, 'register'),
        )
        for build, count, name in cases:
            with self.subTest(name):
                fitted_slope = fit_slope(build)
                self.assertTrue(fitted_slope.is_linear)
                share = budgets.MEMORY_BYTES_BY_TABLE[name]
                self.assertLessEqual(fitted_slope.predict(count), share)
