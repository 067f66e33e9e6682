import unittest

from bulrushrudder.placement import balance
from bulrushrudder.tests.builders import fleet

WORK = balance.RequestWork(prefill_s=0.14, decode_s=0.38)


def pool(*kinds):
    """Return servers of the given kinds, each in its own zone."""
    return [
        fleet.server(f's{number}', kind=kind, zone=f'z{number}')
        for number, kind in enumerate(kinds)
    ]


class WantedPrefillsTests(unittest.TestCase):
    def test_adds_servers_to_the_bottleneck_kind(self):
        self.assertEqual(balance.wanted(WORK, 3, 3), 2)
        long_prompts = balance.RequestWork(prefill_s=0.6, decode_s=0.3)
        self.assertEqual(balance.wanted(long_prompts, 2, 4), 4)

    def test_keeps_split_when_gain_is_small(self):
        self.assertEqual(balance.wanted(WORK, 2, 3), 2)

    def test_pool_of_four_keeps_two_prefill_servers(self):
        short_prompts = balance.RequestWork(prefill_s=0.01, decode_s=0.5)
        self.assertEqual(balance.wanted(short_prompts, 3, 3), 2)
        self.assertEqual(balance.wanted(short_prompts, 2, 1), 1)

    def test_small_pool_bears_loss_of_a_server(self):
        """Two of nine would prefill for 17 requests a second, one for 9."""
        work = balance.RequestWork(prefill_s=0.112, decode_s=0.4)
        self.assertEqual(balance.wanted(work, 4, 5), 3)
        self.assertEqual(balance.wanted(work, 1, 5), 2)
        large = balance.wanted(work, 31, 31)
        best = max(
            range(1, 62),
            key=lambda count: balance.throughput(work, count, 62 - count),
        )
        self.assertLessEqual(abs(large - best), 1)

    def test_no_average_below_minimum_requests(self):
        average = balance.AverageWork()
        for _ in range(balance.MIN_REQUESTS - 1):
            average.record(WORK)
        self.assertIsNone(average.work)
        average.record(WORK)
        self.assertAlmostEqual(average.work.prefill_s, 0.14)


class NextChangesTests(unittest.TestCase):
    def test_changes_one_server_towards_target(self):
        changes = balance.next_changes(pool('prefill', 'prefill', 'decode'), 1)
        self.assertEqual(changes, (balance.KindChange('s0', 'decode'),))
        changes = balance.next_changes(pool('prefill', 'decode', 'decode'), 2)
        self.assertEqual(changes, (balance.KindChange('s1', 'prefill'),))

    def test_keeps_last_server_of_each_kind(self):
        for prefills in (0, 1, 2):
            self.assertEqual(
                balance.next_changes(pool('prefill', 'decode'), prefills), ()
            )

    def test_takes_server_from_fullest_zone(self):
        servers = [
            fleet.server('a', kind='prefill', zone='z1'),
            fleet.server('b', kind='prefill', zone='z2'),
            fleet.server('c', kind='prefill', zone='z2'),
            fleet.server('d', kind='decode', zone='z1'),
        ]
        changes = balance.next_changes(servers, 2)
        self.assertEqual(changes, (balance.KindChange('b', 'decode'),))

    def test_large_pool_changes_a_quarter_of_its_servers_together(self):
        """22 of 62 servers prefill where 8 suffice."""
        servers = pool(*['prefill'] * 22, *['decode'] * 40)
        changes = balance.next_changes(servers, 8)
        self.assertEqual(len(changes), 14)
        self.assertEqual(len({change.server for change in changes}), 14)
        changes = balance.next_changes(servers, 1)
        self.assertEqual(len(changes), 15)
        changes = balance.next_changes(servers, 30)
        self.assertEqual({change.kind for change in changes}, {'prefill'})
        self.assertEqual(len(changes), 8)
