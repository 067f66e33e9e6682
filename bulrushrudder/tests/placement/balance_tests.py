import unittest

from bulrushrudder.placement import balance
from bulrushrudder.tests.builders import fleet

WORK = balance.Work(prefill_s=0.14, decode_s=0.38)


def pool(*kinds):
    """Return servers of some kinds, each in a zone of its own."""
    return [
        fleet.server(f's{number}', kind=kind, zone=f'z{number}')
        for number, kind in enumerate(kinds)
    ]


class WantedTests(unittest.TestCase):
    def test_the_kind_that_holds_the_other_up_gets_a_server(self):
        self.assertEqual(balance.wanted(WORK, 3, 3), 2)
        long_prompts = balance.Work(prefill_s=0.6, decode_s=0.3)
        self.assertEqual(balance.wanted(long_prompts, 2, 4), 4)

    def test_a_small_gain_changes_nothing(self):
        self.assertEqual(balance.wanted(WORK, 2, 3), 2)

    def test_a_pool_of_four_keeps_two_that_prefill(self):
        short_prompts = balance.Work(prefill_s=0.01, decode_s=0.5)
        self.assertEqual(balance.wanted(short_prompts, 3, 3), 2)
        self.assertEqual(balance.wanted(short_prompts, 2, 1), 1)

    def test_too_few_requests_say_nothing(self):
        demand = balance.Demand()
        for _ in range(balance.LEAST_SEEN - 1):
            demand.add(WORK)
        self.assertIsNone(demand.work)
        demand.add(WORK)
        self.assertAlmostEqual(demand.work.prefill_s, 0.14)


class NextChangeTests(unittest.TestCase):
    def test_one_step_towards_what_is_wanted(self):
        found = balance.next_change(pool('prefill', 'prefill', 'decode'), 1)
        self.assertEqual(found, balance.Change('s0', 'decode'))
        found = balance.next_change(pool('prefill', 'decode', 'decode'), 2)
        self.assertEqual(found, balance.Change('s1', 'prefill'))

    def test_never_the_last_of_a_kind(self):
        self.assertIsNone(balance.next_change(pool('prefill', 'decode'), 0))
        self.assertIsNone(balance.next_change(pool('prefill', 'decode'), 2))

    def test_the_fullest_zone_gives(self):
        servers = [
            fleet.server('a', kind='prefill', zone='z1'),
            fleet.server('b', kind='prefill', zone='z2'),
            fleet.server('c', kind='prefill', zone='z2'),
            fleet.server('d', kind='decode', zone='z1'),
        ]
        found = balance.next_change(servers, 2)
        self.assertEqual(found, balance.Change('b', 'decode'))
