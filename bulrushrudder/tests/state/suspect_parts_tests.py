import random
import unittest
from unittest import mock

from bulrushrudder.state import suspect_parts
from bulrushrudder.tests.builders import crashes

SEEDS = range(100)
REQUESTS = 200
# Three requests more are allowed after the fifth crash.
MAX_LATE_ARRIVALS = 3


class QuarantineTests(unittest.TestCase):
    def test_part_of_three_crashes_is_refused_in_other_requests(self):
        reports = [
            crashes.report(f'r{n}', ('first', 'deadly'), n) for n in range(3)
        ]
        for number in range(3):
            suspects = crashes.table(*reports[:number])
            self.assertFalse(suspects.refuses('new', ('first', 'deadly')))
        suspects = crashes.table(*reports)
        self.assertTrue(suspects.refuses('new', ('first', 'deadly')))

    def test_sound_request_that_shares_the_other_parts_is_not_refused(self):
        suspects = crashes.table(
            *[
                crashes.report(f'r{n}', ('first', 'deadly'), n)
                for n in range(3)
            ]
        )
        self.assertFalse(suspects.refuses('new', ('first',)))
        self.assertFalse(suspects.refuses('new', ('first', 'sound')))

    def test_part_is_refused_alone_once_it_crashed_beside_other_parts(self):
        suspects = crashes.table(
            *[
                crashes.report(f'r{n}', (f'first-{n}', 'deadly'), n)
                for n in range(3)
            ]
        )
        self.assertTrue(suspects.refuses('new', ('deadly',)))
        self.assertFalse(suspects.refuses('new', ('first-1',)))

    def test_part_is_refused_alone_once_its_companion_is_cleared(self):
        suspects = crashes.table(
            *[
                crashes.report(f'r{n}', ('first', 'deadly'), n)
                for n in range(3)
            ],
            suspect_parts.ClearParts(('first',)),
        )
        self.assertTrue(suspects.refuses('new', ('deadly',)))
        self.assertTrue(suspects.refuses('new', ('other', 'deadly')))
        self.assertFalse(suspects.refuses('new', ('first',)))

    def test_part_of_bystanders_is_not_refused_for_crashes_of_another(self):
        reports = [
            crashes.report(f'{name}{n}', parts, n)
            for n in range(3)
            for name, parts in (
                ('deadly', (f'x{n}', 'deadly')),
                ('bystander', ('first',)),
            )
        ]
        suspects = crashes.table(*reports)
        self.assertFalse(suspects.refuses('new', ('first',)))
        self.assertTrue(suspects.refuses('new', ('first', 'deadly')))
        cleared = suspect_parts.ClearParts(('first',))
        suspects = crashes.table(*reports, cleared)
        self.assertTrue(suspects.refuses('new', ('x9', 'deadly')))

    def test_part_that_is_found_sound_is_suspect_no_more(self):
        suspects = crashes.table(
            crashes.report('r1', ('part',), 1),
            crashes.report('r2', ('part',), 2),
            suspect_parts.ClearParts(('part',)),
            crashes.report('r3', ('part',), 3),
        )
        self.assertFalse(suspects.refuses('new', ('part',)))

    def test_several_reports_of_one_crash_count_once(self):
        suspects = crashes.table(
            *[crashes.report(f'r{n}', ('part',), 1) for n in range(5)]
        )
        self.assertFalse(suspects.refuses('new', ('part',), 2))

    def test_servers_that_crash_at_one_time_are_not_enough(self):
        together = [
            crashes.report(f'r{n}', ('part',), n, view=0) for n in range(5)
        ]
        self.assertFalse(crashes.table(*together).refuses('new', ('part',)))
        later = crashes.report('r9', ('part',), 9, view=5)
        suspects = crashes.table(*together, later)
        self.assertTrue(suspects.refuses('new', ('part',)))

    def test_request_that_comes_again_is_refused_but_not_its_parts(self):
        suspects = crashes.table(
            *[crashes.report('again', ('part',), n) for n in range(3)]
        )
        self.assertTrue(suspects.refuses('again', ('part',)))
        self.assertFalse(suspects.refuses('new', ('part',)))

    def test_request_is_not_repeated_after_two_crashes_of_its_part(self):
        suspects = crashes.table(
            crashes.report('r1', ('part',), 1),
            crashes.report('r2', ('part',), 2),
        )
        limit = suspect_parts.MIN_CRASHES_BEFORE_REPEAT
        self.assertTrue(suspects.refuses('r2', ('part',), limit))
        self.assertFalse(suspects.refuses('new', ('part',)))

    def test_oldest_suspects_are_evicted_before_quarantined_ones(self):
        with mock.patch.object(suspect_parts, 'MAX_PARTS', 3):
            suspects = crashes.table(
                *[crashes.report(f'r{n}', ('deadly',), n) for n in range(3)],
                crashes.report('r8', ('other',), 8),
                crashes.report('r9', ('third',), 9),
            )
        self.assertEqual(len(suspects.by_part), 3)
        self.assertTrue(suspects.refuses('new', ('deadly',)))


class SimulatedFleetTests(unittest.TestCase):
    def check(self, seed, lost_share, deadly_share, max_view_lag):
        randomness = random.Random(seed)
        fleet = crashes.SimulatedFleet(randomness, lost_share, max_view_lag)
        for _ in range(REQUESTS):
            first = randomness.choice(('first', 'first', 'other'))
            if randomness.random() < deadly_share:
                fleet.send(first, crashes.DEADLY)
            else:
                fleet.send(first)
        self.assertLessEqual(fleet.late_arrivals, MAX_LATE_ARRIVALS)
        self.assertEqual(fleet.refused_sound, 0)
        self.assertGreater(fleet.crashes, 2)

    def test_deadly_part_is_stopped_and_sound_requests_are_not(self):
        for lost_share, deadly_share, max_view_lag in (
            (0.0, 0.05, 0),
            (0.0, 0.3, 2),
            (0.1, 0.3, 1),
            (0.3, 0.3, 1),
            (0.0, 0.8, 2),
        ):
            for seed in SEEDS:
                with self.subTest(f'{lost_share} {deadly_share} {seed}'):
                    self.check(seed, lost_share, deadly_share, max_view_lag)
