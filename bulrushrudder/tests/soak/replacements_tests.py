import pathlib
import random
import tempfile
import unittest

from bulrushrudder.tests.builders import soak_cores
from bulrushrudder.tests.soak import replacements


class SeriesTests(unittest.IsolatedAsyncioTestCase):
    async def play(self, seed):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        core = soak_cores.StillCore(self, folder, random.Random(seed))
        operator = soak_cores.IdleOperator()
        played = replacements.Replacements(
            core.fleet, operator, random.Random(seed)
        )
        await played.run()
        return core, played

    async def test_one_machine_of_five_at_most_counts_as_lost(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                core, played = await self.play(seed)
                self.assertGreaterEqual(min(core.losses), 4)
                self.assertIn(played.replaced, range(6, 10))

    async def test_nothing_counts_as_lost_when_all_may_go_dark(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                core, _ = await self.play(seed)
                self.assertEqual(core.count_caught_up(), 5)
                self.assertEqual(len(core.fleet.controls), 5)

    async def test_founder_is_replaced_in_most_series(self):
        lost = 0
        for seed in range(50):
            core, _ = await self.play(seed)
            lost += core.fleet.controls[0].name != 'core-1'
        self.assertGreater(lost, 40)


class FleetTests(unittest.TestCase):
    def setUp(self):
        self.fleet = soak_cores.fleet(self, pathlib.Path(), random.Random(1))

    def names(self):
        return [machine.name for machine in self.fleet.listed]

    def test_first_start_names_the_same_three_seeds_to_all(self):
        seeds = self.fleet.seeds(True)
        self.assertEqual(seeds, self.fleet.controls[:3])

    def test_list_of_the_operator_lags(self):
        first = self.fleet.controls[0]
        self.fleet.add_control('a')
        self.fleet.remove_control(first)
        self.fleet.record.time_s += 2.9
        self.assertIn('core-1', self.names())
        self.assertNotIn('core-6', self.names())
        self.fleet.record.time_s += 0.2
        self.assertNotIn('core-1', self.names())
        self.assertIn('core-6', self.names())

    def test_number_and_address_are_never_used_again(self):
        for _ in range(3):
            self.fleet.remove_control(self.fleet.controls[-1])
            self.fleet.add_control('a')
        ever = [*self.fleet.controls, *self.fleet.lost]
        self.assertEqual(len({machine.ip for machine in ever}), 8)
        self.assertEqual(len({machine.data_folder for machine in ever}), 8)
