import unittest

from bulrushrudder.tests.builders import soak_cores
from bulrushrudder.tests.soak import core_judges


def never(began_s, ended_s):
    return 0.0


class AckTests(unittest.TestCase):
    def check(self, rules, *versions, held_up_s=0.0, **changes):
        seen = soak_cores.seen(*versions, **changes)
        found = [
            broken.rule
            for broken in core_judges.judge(seen, lambda *_: held_up_s)
        ]
        self.assertEqual(found, rules)

    def test_change_without_an_acknowledgement_is_found(self):
        self.check(['ACKS'], soak_cores.version(1, 10.0, None))

    def test_acknowledgement_after_its_time_is_found(self):
        self.check(['ACKS'], soak_cores.version(1, 10.0, 14.01))
        self.check([], soak_cores.version(1, 10.0, 14.0))

    def test_each_route_gives_three_milliseconds_more(self):
        version = soak_cores.version(1, 10.0, 14.02)
        version.services_by_path = {f'/{n}/': 'plain' for n in range(10)}
        self.check([], version)

    def test_time_begins_anew_after_each_event(self):
        late = soak_cores.version(1, 10.0, 20.9)
        self.check([], late, times_s=(9.0, 14.0))
        self.check(['ACKS'], late, times_s=(9.0, 13.0))

    def test_event_after_a_stable_span_excuses_nothing(self):
        late = soak_cores.version(1, 10.0, 20.0)
        self.check(['ACKS'], late, times_s=(15.0, 19.0))

    def test_change_that_was_given_up_ends_with_the_next_one(self):
        given_up = soak_cores.version(1, 10.0, None)
        self.check([], given_up, soak_cores.version(2, 13.9, 14.0))
        self.check(['ACKS'], given_up, soak_cores.version(2, 14.1, 14.2))

    def test_hold_ups_of_a_process_are_not_counted(self):
        late = soak_cores.version(1, 10.0, 15.0)
        self.check([], late, held_up_s=1.0)
        self.check(['ACKS'], late, held_up_s=0.9)

    def test_change_before_all_had_started_is_not_judged(self):
        early = soak_cores.version(1, 1.0, 12.0)
        self.check([], early, began_s=13.0)

    def test_change_is_not_owed_after_all_were_killed(self):
        sent_before = soak_cores.version(1, 49.0, None)
        self.check(
            [],
            sent_before,
            times_s=(50.0, 51.0),
            dark_s=50.0,
            back_s=51.0,
            read_s=52.0,
        )

    def test_core_is_stable_later_after_all_were_killed(self):
        for acked_s, rules in ((61.0, []), (61.1, ['ACKS'])):
            self.check(
                rules,
                soak_cores.version(1, 52.0, acked_s),
                times_s=(50.0, 51.0),
                dark_s=50.0,
                back_s=51.0,
                read_s=52.0,
            )


class ReadBackTests(unittest.TestCase):
    def check(self, rules, read_s, **changes):
        seen = soak_cores.dark(read_s, **changes)
        found = [broken.rule for broken in core_judges.judge(seen, never)]
        self.assertEqual(found, rules)

    def test_configuration_that_never_comes_is_found(self):
        self.check(['CONFIG'], None)

    def test_configuration_that_comes_late_is_found(self):
        self.check(['CONFIG'], 63.1)

    def test_configuration_that_comes_in_time_is_sound(self):
        self.check([], 63.0)

    def test_hold_ups_of_a_process_are_not_counted(self):
        self.check([], 64.0, held_up_s=1.0)
        self.check(['CONFIG'], 64.0, held_up_s=0.9)

    def test_play_that_ended_before_all_were_killed_is_not_judged(self):
        seen = soak_cores.seen(soak_cores.version(1, 10.0, 10.1))
        self.assertEqual(list(core_judges.judge(seen, never)), [])


class FigureTests(unittest.TestCase):
    def test_longest_time_without_an_acknowledgement(self):
        seen = soak_cores.seen(
            soak_cores.version(1, 10.0, 10.1),
            soak_cores.version(2, 11.0, 17.1),
            soak_cores.version(3, 18.0, 18.1),
            dark_s=20.0,
            back_s=21.0,
        )
        self.assertAlmostEqual(core_judges.longest_without_ack_s(seen), 7.0)

    def test_time_without_an_acknowledgement_lasts_to_the_end(self):
        seen = soak_cores.seen(
            soak_cores.version(1, 10.0, 10.1),
            soak_cores.version(2, 11.0, None),
            dark_s=50.1,
            back_s=51.1,
        )
        self.assertAlmostEqual(core_judges.longest_without_ack_s(seen), 40.0)

    def test_summary_says_how_long_reading_back_took(self):
        found = core_judges.summary(soak_cores.dark(52.25))
        self.assertEqual(found['read_back_s'], 1.25)
        self.assertIsNone(
            core_judges.summary(soak_cores.dark(None))['read_back_s']
        )
