"""Losses beside planned stops, and several at a time."""

import unittest

from bulrushrudder.tests.builders import replacements

RETURN_S = 12.0
LARGEST_PAUSE_S = 1.6
SEEDS = range(600, 608)


def stop_beside_loss(seed, size, tolerance):
    """Wipe disks, stop some of the other machines, and start them again."""
    fleet = replacements.Fleet(size, tolerance, seed)
    random = fleet.group.random
    for _ in range(4):
        fleet.propose()
        fleet.group.run(0.3)
        wiped = fleet.pick(tolerance)
        for address in wiped:
            fleet.wipe(address)
        fleet.group.run(random.uniform(0.1, LARGEST_PAUSE_S))
        others = [m for m in fleet.machines if m not in wiped]
        stopped = random.sample(others, random.randint(1, len(others)))
        for address in stopped:
            fleet.announce_stop(address)
        fleet.group.run(replacements.STOP_S)
        for address in stopped:
            fleet.group.kill(address)
        fleet.group.run(random.uniform(0.1, 3.0))
        for address in stopped:
            fleet.group.start(address)
        fleet.group.run(RETURN_S)
        fleet.propose()
        fleet.check_losses_tolerated()
    fleet.lose_power(fleet.pick(tolerance))


def lose_several(seed, size, tolerance):
    """Lose as many machines as tolerated; successors start soon after."""
    fleet = replacements.Fleet(size, tolerance, seed)
    random = fleet.group.random
    fleet.propose()
    fleet.group.run(1.0)
    for _ in range(6):
        lost = fleet.pick(tolerance)
        for address in lost:
            fleet.lose(address)
            fleet.group.run(random.choice((0.0, 0.3, 0.8)))
        fleet.group.run(random.uniform(0.0, 1.2))
        for _ in lost:
            fleet.add()
        fleet.group.run(replacements.CATCH_UP_S)
        fleet.check_losses_tolerated()
        fleet.propose()
        fleet.group.run(0.2)
    fleet.lose_power(fleet.pick(tolerance))


class OverlappingLossesTests(unittest.TestCase):
    # Guards against sound voters that stop as planned being taken out while
    # one whose disk is lost stays, until nobody can be elected.

    def test_group_goes_on_after_stops_beside_a_lost_disk(self):
        for size, tolerance in ((3, 1), (5, 1), (9, 2)):
            for seed in SEEDS:
                with self.subTest(f'{size} {seed}'):
                    stop_beside_loss(seed, size, tolerance)

    # Guards against successors that are promoted beside voters which have
    # just died, so that dead ones stay in an odd group.

    def test_as_many_as_tolerated_may_be_lost_again_and_again(self):
        for size, tolerance in ((5, 2), (7, 3), (9, 4)):
            for seed in SEEDS:
                with self.subTest(f'{size} {seed}'):
                    lose_several(seed, size, tolerance)
