import unittest

from bulrushrudder.placement import decodes
from bulrushrudder.placement import prefills
from bulrushrudder.placement import speeds
from bulrushrudder.state import servers
from bulrushrudder.tests.builders import fleet
from bulrushrudder.tests.builders import overload_loads
from bulrushrudder.tests.builders import ranked_loads

SPEED = servers.InitialSpeed(0.04, 31000.0, 0.0042)
# Share of the answers that the slow third of the decode servers gets; 0.21
# before speeds counted.
MAX_SLOW_SHARE = 0.18


class DecodeSpeedTests(unittest.TestCase):
    def setUp(self):
        self.pool = decodes.DecodePool(0)
        for name in 'abc':
            self.pool.join(fleet.server(name, initial_speed=SPEED))

    def measure(self, now_s=0.0, **times_s):
        for name, token_s in times_s.items():
            self.pool.record_token_time(name, token_s, now_s)

    def slowness(self, name):
        return self.pool.by_id[name].slowness

    def test_first_measurements_replace_assumed_speed(self):
        for _ in range(4):
            self.measure(a=0.0084)
        self.assertGreater(self.pool.by_id['a'].token_s, 0.0075)

    def test_slow_server_counts_as_fuller(self):
        for _ in range(10):
            self.measure(a=0.003, b=0.003, c=0.0072)
        by_id = self.pool.by_id
        self.assertGreater(by_id['c'].load, by_id['a'].load)

    # Guards against pools of equal servers that are filled unevenly
    # because single requests take different times.

    def test_times_within_their_spread_count_as_equal(self):
        for _ in range(10):
            self.measure(a=0.0040, b=0.0042, c=0.0046)
        self.assertEqual([self.slowness(n) for n in 'abc'], [1.0] * 3)

    def test_speed_that_is_no_longer_measured_counts_as_mean(self):
        for _ in range(10):
            self.measure(a=0.003, b=0.003, c=0.0072)
        self.measure(speeds.STALE_AFTER_S + 1.0, a=0.003)
        self.assertEqual(self.slowness('c'), 1.0)


class PrefillSpeedTests(unittest.TestCase):
    def test_first_measurements_replace_assumed_rate(self):
        pool = prefills.PrefillPool()
        pool.join(fleet.server('a', 'prefill', initial_speed=SPEED))
        for _ in range(4):
            pool.record_prefill('a', 3200, 0.04 + 3200 / 18000)
        self.assertLess(pool.by_id['a'].tokens_per_s, 21000)


class UnevenPoolTests(unittest.TestCase):
    """Servers that take 0.7, 0.7 and 1.7 times the time."""

    def test_slow_decode_servers_get_less(self):
        load = ranked_loads.Load(
            burst=overload_loads.Burst(0.0, 0.0, 1.0),
            loss=None,
            slowness=(0.7, 0.7, 1.7),
        )
        found = ranked_loads.replay(load)
        slow = sum(
            found.decodes_by_server[server.id]
            for number, server in enumerate(ranked_loads.pool(load))
            if load.slowness[number // 3 % 3] > 1.0
        )
        total = found.decodes_by_server.total()
        self.assertLess(slow, MAX_SLOW_SHARE * total)
        timely = sum(c.timely for c in found.counts_by_rank.values())
        self.assertGreater(timely, 0.99 * total)
