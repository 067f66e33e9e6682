"""Machines that are replaced one after the other by empty ones."""

import unittest

from bulrushrudder.tests.builders import cluster
from bulrushrudder.tests.builders import replacements

RESTART_S = 1.0
LONG_LED_S = 12.0
LATE_S = 0.3


def failures_by_seed(play, seeds):
    """Return what went wrong with each seed.

    :param play: function of a seed that raises AssertionError.
    """
    found = {}
    for seed in seeds:
        try:
            play(seed)
        except AssertionError as error:
            found[seed] = str(error)
    return found


def any_machines(fleet):
    return fleet.pick(fleet.tolerance)


def leader(fleet):
    return fleet.group.leaders()


def oldest(fleet):
    """Return the machines that have served longest, which are seeds."""
    return fleet.machines[: fleet.tolerance]


def replace_in_series(
    size, tolerance, seed, count, pause_s, choose=any_machines
):
    """Replace machines one after the other, then lose power and disks."""
    fleet = replacements.Fleet(size, tolerance, seed)
    fleet.propose()
    fleet.group.run(RESTART_S)
    for _ in range(count):
        lost = choose(fleet)
        for address in lost:
            fleet.lose(address)
        fleet.group.run(RESTART_S)
        for _ in lost:
            fleet.add()
        fleet.group.run(replacements.CATCH_UP_S)
        fleet.propose()
        fleet.run_checked(pause_s - replacements.CATCH_UP_S)
    fleet.lose_power(fleet.pick(tolerance))


class ReplacedMachinesTests(unittest.TestCase):
    maxDiff = None

    # Guards against a group that keeps machines as voters which are gone,
    # so that it elects no leader after a tolerated loss.

    def test_elects_leader_after_six_replacements_and_a_lost_disk(self):
        failures = failures_by_seed(
            lambda seed: replace_in_series(5, 1, seed, 6, 5.0), range(10)
        )
        self.assertEqual(failures, {})

    def test_elects_leader_after_nine_replacements_in_quick_succession(self):
        failures = failures_by_seed(
            lambda seed: replace_in_series(5, 1, seed, 9, 4.2), range(10)
        )
        self.assertEqual(failures, {})

    def check_series(self, *series, choose=any_machines):
        failures = failures_by_seed(
            lambda seed: replace_in_series(
                series[0], series[1], seed, *series[2:], choose
            ),
            range(5),
        )
        self.assertEqual(failures, {})

    def test_elects_leader_after_each_leader_was_replaced(self):
        for size in (3, 5):
            with self.subTest(size):
                self.check_series(size, 1, 6, 4.2, choose=leader)

    def test_elects_leader_after_founder_and_all_seeds_were_replaced(self):
        for size, tolerance in ((3, 1), (5, 1), (9, 2)):
            with self.subTest(size):
                self.check_series(size, tolerance, 6, 4.2, choose=oldest)

    def test_elects_leader_after_replacements_of_two_at_a_time(self):
        self.check_series(9, 2, 6, 4.2)

    def test_elects_leader_after_replacements_in_a_small_group(self):
        self.check_series(3, 1, 9, 4.2)

    def replace_first(self, seed, planned):
        """Start each successor before the machine that it succeeds goes.

        The next loss is tolerated at once.
        """
        fleet = replacements.Fleet(5, 1, seed)
        for _ in range(6):
            added = fleet.add()
            fleet.group.run(replacements.CATCH_UP_S)
            fleet.propose()
            (lost,) = fleet.pick()
            if lost == added:
                continue
            if planned:
                fleet.stop(lost)
            else:
                fleet.lose(lost)
            fleet.run_checked(RESTART_S)
        fleet.lose_power(fleet.pick())

    def test_successors_that_start_first_leave_one_more_to_lose(self):
        for planned in (False, True):
            with self.subTest(planned):
                failures = failures_by_seed(
                    lambda seed, planned=planned: self.replace_first(
                        seed, planned
                    ),
                    range(10),
                )
                self.assertEqual(failures, {})

    def test_disk_wiped_during_a_replacement_joins_again(self):
        for seed in range(5):
            with self.subTest(seed):
                fleet = replacements.Fleet(9, 2, seed)
                lost, wiped = fleet.pick(2)
                fleet.lose(lost)
                fleet.group.run(RESTART_S)
                fleet.add()
                fleet.wipe(wiped)
                fleet.group.run(replacements.CATCH_UP_S)
                fleet.check_losses_tolerated()
                fleet.check_machines_vote()
                fleet.lose_power(fleet.pick(2))


class LearnerTests(unittest.TestCase):
    # Guards against a learner that is removed and added again, which
    # counted as silent for as long as the leader had led.

    def test_learner_whose_first_answer_is_late_is_added_once(self):
        for seed in range(5):
            with self.subTest(seed):
                fleet = replacements.Fleet(5, 1, seed)
                fleet.group.run(LONG_LED_S)
                added = fleet.add()
                fleet.group.late_s_by_address[added] = LATE_S
                fleet.add()
                fleet.group.run(2 * replacements.CATCH_UP_S)
                member = fleet.group.disks_by_address[added].id
                self.assertEqual(
                    [c.change.value for c in fleet.changes_of(member)],
                    ['added', 'promoted'],
                )

    def test_learner_that_asks_again_changes_no_members(self):
        group = cluster.Cluster('abc', 1)
        group.run(replacements.CATCH_UP_S)
        group.addresses = tuple('abcde')
        for address in 'de':
            group.start(address)
        group.run(replacements.CATCH_UP_S)
        (leader,) = group.leaders()
        log = group.processes_by_address[leader].replica.log
        before = log.configuration_index()
        self.assertEqual(len(log.members()), 5)
        for address in 'de':
            group.kill(address)
            group.start(address)
            group.run(replacements.CATCH_UP_S)
        self.assertEqual(log.configuration_index(), before)

    # Guards against a process with a slow disk that never finds the log,
    # as it had asked again before it was answered.

    def test_process_whose_answers_are_late_becomes_voter(self):
        for late_s in (0.4, 0.6, 0.9):
            with self.subTest(late_s):
                fleet = replacements.Fleet(5, 1, seed=1)
                added = fleet.add()
                fleet.group.late_s_by_address[added] = late_s
                fleet.group.run(2 * replacements.CATCH_UP_S)
                fleet.group.check_converged()


class LostSeedsTests(unittest.TestCase):
    # Guards against a process without a disk whose seeds are all gone, and
    # which never finds the members that are left.

    def test_wiped_machine_whose_seeds_are_gone_becomes_voter(self):
        for seed in range(5):
            with self.subTest(seed):
                fleet = replacements.Fleet(5, 1, seed)
                fleet.group.seeds = ('x', 'y', 'z')
                fleet.group.wipe('d')
                fleet.group.run(RESTART_S)
                fleet.group.start('d')
                fleet.group.run(replacements.CATCH_UP_S)
                fleet.check_machines_vote()

    def test_wiped_seeds_that_name_only_each_other_become_voters(self):
        for seed in range(5):
            with self.subTest(seed):
                fleet = replacements.Fleet(7, 3, seed)
                fleet.lose_power('abc')
