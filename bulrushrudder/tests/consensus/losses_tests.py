import unittest

from bulrushrudder.tests.builders import losses
from bulrushrudder.tests.builders import replacements

SEEDS = range(20)
LATE_S = 0.25


def fail_at_random(size, tolerance, seed, late_s=0.0):
    """Lose machines at random, then power everywhere with some disks."""
    fleet = replacements.Fleet(size, tolerance, seed)
    fleet.group.late_s_by_address = {fleet.pick()[0]: late_s}
    random_losses = losses.Losses(fleet)
    random_losses.play(fleet.group.random.uniform(5.0, 45.0))
    random_losses.end()


class LossesTests(unittest.TestCase):
    # Guards against a group of members that cannot bear what is tolerated:
    # machines stopped, killed, paused, wiped, replaced, and power lost.

    def check(self, size, tolerance, late_s=0.0):
        for seed in SEEDS:
            with self.subTest(seed):
                fail_at_random(size, tolerance, seed, late_s)

    def test_three_machines_bear_the_loss_of_one_at_any_time(self):
        self.check(3, 1)

    def test_five_machines_bear_the_loss_of_one_at_any_time(self):
        self.check(5, 1)

    def test_nine_machines_bear_the_loss_of_two_at_any_time(self):
        self.check(9, 2)

    def test_five_machines_with_a_slow_disk_bear_the_loss_of_one(self):
        self.check(5, 1, LATE_S)
