import unittest

from bulrushrudder.core import ids
from bulrushrudder.lifecycle import paths

RELAY = ids.VmId('vm-2')
MANY = 40


def key(number, incarnation=1):
    return paths.ServerKey(ids.ServerId(f's-{number}'), incarnation)


class PathsTests(unittest.TestCase):
    def setUp(self):
        self.paths = paths.Paths()

    def lose(self, server, now_s, direct_failed=True):
        return self.paths.handle(
            paths.RelayOpened(server, RELAY, now_s, direct_failed), now_s
        )

    def restore(self, server, now_s):
        return self.paths.handle(paths.DirectOpened(server), now_s)

    def assert_plan(self, server, now_s, plan):
        self.assertEqual(self.paths.plan(server, now_s), plan)

    def test_sound_paths_are_direct_and_take_no_memory(self):
        for number in range(MANY):
            self.assert_plan(key(number), 0.0, paths.DirectFirst())
            self.assertEqual(self.restore(key(number), 0.0), [])
        self.assertTrue(self.paths.idle)
        self.assertEqual(self.paths.due_probes(1.0), [])

    def test_server_that_a_relay_reaches_is_used_through_relays(self):
        self.assertEqual(
            self.lose(key(1), 1.0), [paths.PathLost(key(1), RELAY)]
        )
        self.assert_plan(key(1), 1.1, paths.RelaysFirst())
        self.assertTrue(self.paths.doubts(key(1)))

    def test_path_that_stays_lost_is_reported_once(self):
        self.lose(key(1), 1.0)
        self.assertEqual(self.lose(key(1), 2.0, direct_failed=False), [])

    def test_one_lost_path_leaves_the_others_direct(self):
        self.lose(key(1), 1.0)
        self.assert_plan(key(2), 1.1, paths.DirectFirst())
        self.assertFalse(self.paths.doubts(key(2)))

    def test_other_incarnation_has_a_path_of_its_own(self):
        self.lose(key(1), 1.0)
        self.assert_plan(key(1, 2), 1.1, paths.DirectFirst())

    def test_vm_that_loses_several_paths_is_cut_off(self):
        self.lose(key(1), 1.0)
        self.lose(key(2), 1.1)
        self.assert_plan(key(3), 1.2, paths.RelaysFirst())
        self.assertTrue(self.paths.doubts(key(3)))

    def test_cut_of_one_service_leaves_others_direct(self):
        self.lose(key(1), 1.0)
        self.restore(key(3), 1.05)
        self.lose(key(2), 1.1)
        self.restore(key(3), 1.15)
        for now_s in range(2, 20):
            self.assert_plan(key(1), now_s, paths.RelaysFirst())
            self.lose(key(1), now_s, direct_failed=False)
            self.assert_plan(key(2), now_s, paths.RelaysFirst())
            self.lose(key(2), now_s, direct_failed=False)
            self.assert_plan(key(3), now_s, paths.DirectFirst())

    def test_server_used_through_relays_only_by_guess_is_probed_at_once(self):
        self.lose(key(1), 1.0)
        self.lose(key(2), 1.1)
        self.lose(key(3), 1.2, direct_failed=False)
        self.assertEqual(self.paths.due_probes(1.3), [key(3)])

    def test_direct_path_is_taken_back_when_a_probe_works(self):
        self.lose(key(1), 1.0)
        self.assertEqual(
            self.restore(key(1), 3.5), [paths.PathRestored(key(1), 2.5)]
        )
        self.assert_plan(key(1), 3.6, paths.DirectFirst())
        self.assertTrue(self.paths.idle)

    def test_first_path_that_is_back_has_all_others_probed(self):
        for number in range(3):
            self.lose(key(number), 1.0)
        self.paths.due_probes(2.0)
        self.restore(key(0), 2.1)
        self.assertCountEqual(self.paths.due_probes(2.2), [key(1), key(2)])

    def test_lost_path_in_use_is_probed_once_a_second(self):
        self.lose(key(1), 0.0)
        probes = 0
        for step in range(100):
            now_s = step / 10
            self.paths.plan(key(1), now_s)
            probes += len(self.paths.due_probes(now_s))
        self.assertEqual(probes, 9)

    def test_probes_of_a_vm_that_is_cut_off_are_bounded(self):
        for number in range(MANY):
            self.lose(key(number), 0.0)
        self.assertEqual(len(self.paths.due_probes(2.0)), paths.MAX_PROBES)

    # Guards against calls that take the long way after a cut, since all of
    # them use tunnels that exist.
    def test_path_whose_tunnels_are_reused_is_probed(self):
        self.lose(key(1), 0.0)
        self.assertTrue(self.paths.use_tunnel(key(1), paths.IN_USE_S))
        now_s = paths.IN_USE_S + 0.1
        self.assertEqual(self.paths.due_probes(now_s), [key(1)])
        self.paths.handle(paths.DirectOpened(key(1)), now_s)
        self.assertFalse(self.paths.use_tunnel(key(1), now_s))

    def test_lost_path_that_nobody_uses_is_neither_probed_nor_kept(self):
        self.lose(key(1), 0.0)
        self.assertEqual(self.paths.due_probes(paths.IN_USE_S + 0.1), [])
        self.assertFalse(self.paths.idle)
        self.paths.due_probes(paths.UNUSED_MEMORY_S + 0.1)
        self.assertTrue(self.paths.idle)
        self.assert_plan(key(1), 11.0, paths.DirectFirst())

    def test_server_that_is_down_is_not_asked_for_again_for_a_while(self):
        self.paths.handle(paths.FoundDown(key(1), True), 1.0)
        self.assert_plan(key(1), 1.5, paths.DirectOnly(True, True))
        self.assertFalse(self.paths.doubts(key(1)))
        self.assert_plan(key(1), 2.1, paths.DirectFirst())

    def test_server_that_no_relay_reaches_is_dialled_directly_only(self):
        self.paths.handle(paths.FoundNoRelay(key(1)), 1.0)
        self.assert_plan(key(1), 1.5, paths.DirectOnly(False, False))
        self.assert_plan(key(1), 2.1, paths.DirectFirst())

    # Guards against a search by each call while no relay works.
    def test_relays_that_fail_for_a_while_leave_the_path_lost(self):
        self.lose(key(1), 1.0)
        self.paths.handle(paths.FoundNoRelay(key(1)), 1.5)
        self.assertTrue(self.paths.is_lost(key(1)))
        self.assert_plan(key(1), 1.6, paths.Unreachable(False))
        self.assert_plan(key(1), 2.4, paths.Unreachable(False))
        self.assert_plan(key(1), 2.6, paths.Unreachable(True))
        self.assert_plan(key(1), 4.4, paths.Unreachable(True))
        self.assert_plan(key(1), 4.6, paths.RelaysFirst())

    def test_relay_that_works_ends_the_memory_of_none(self):
        self.lose(key(1), 1.0)
        self.paths.handle(paths.FoundNoRelay(key(1)), 1.5)
        self.lose(key(1), 1.6, direct_failed=False)
        self.assert_plan(key(1), 1.7, paths.RelaysFirst())

    def test_direct_path_that_works_ends_the_memory_of_no_relay(self):
        self.lose(key(1), 1.0)
        self.paths.handle(paths.FoundNoRelay(key(1)), 1.5)
        self.restore(key(1), 1.6)
        self.assert_plan(key(1), 1.7, paths.DirectFirst())

    def test_path_lost_by_guess_is_tried_directly_when_no_relay_works(self):
        self.lose(key(1), 1.0, direct_failed=False)
        self.paths.handle(paths.FoundNoRelay(key(1)), 1.5)
        self.assert_plan(key(1), 1.6, paths.DirectOnly(False, False))

    def test_connections_that_break_before_an_answer_make_relays_asked(self):
        self.paths.handle(paths.DirectBroke(key(1)), 1.0)
        self.assert_plan(key(1), 1.0, paths.DirectFirst())
        self.restore(key(1), 1.1)
        self.paths.handle(paths.DirectBroke(key(1)), 1.2)
        self.assert_plan(key(1), 1.3, paths.RelaysFirst())
        self.assert_plan(key(2), 1.3, paths.DirectFirst())

    def test_server_that_breaks_connections_is_not_excused(self):
        for _ in range(2):
            self.paths.handle(paths.DirectBroke(key(1)), 1.0)
        self.lose(key(1), 1.1, direct_failed=False)
        self.assertFalse(self.paths.doubts(key(1)))
        self.assertEqual(self.paths.due_probes(1.2), [key(1)])
        self.paths.handle(paths.DirectFailed(key(1)), 1.3)
        self.assertTrue(self.paths.doubts(key(1)))

    def test_answer_makes_up_for_connections_that_broke(self):
        self.paths.handle(paths.DirectBroke(key(1)), 1.0)
        self.paths.handle(paths.DirectWorks(key(1)), 1.1)
        self.paths.handle(paths.DirectBroke(key(1)), 1.2)
        self.assert_plan(key(1), 1.3, paths.DirectFirst())

    def test_connections_that_broke_are_forgotten(self):
        for _ in range(3):
            self.paths.handle(paths.DirectBroke(key(1)), 1.0)
        self.assert_plan(key(1), 4.1, paths.DirectFirst())
        self.paths.due_probes(4.1)
        self.assertTrue(self.paths.idle)

    def test_crashes_do_not_make_a_vm_cut_off(self):
        for number in range(MANY):
            self.paths.handle(paths.FoundDown(key(number), True), 1.0)
        self.assert_plan(key(MANY), 1.1, paths.DirectFirst())
        self.assertEqual(self.paths.lost, 0)

    def test_server_that_comes_back_after_a_crash_is_direct(self):
        self.paths.handle(paths.FoundDown(key(1), True), 1.0)
        self.assertEqual(self.restore(key(1), 1.2), [])
        self.assert_plan(key(1), 1.3, paths.DirectFirst())

    def test_flapping_path_follows_the_latest_news(self):
        for cycle in range(10):
            self.lose(key(1), cycle)
            self.assert_plan(key(1), cycle + 0.1, paths.RelaysFirst())
            self.restore(key(1), cycle + 0.5)
            self.assert_plan(key(1), cycle + 0.6, paths.DirectFirst())

    def test_idle_connection_of_a_lost_path_is_reused_only_if_it_answers(self):
        self.lose(key(1), 5.0)
        self.assertFalse(self.paths.may_reuse(key(1), 4.9))
        self.assertTrue(self.paths.may_reuse(key(1), 5.1))
        self.assertTrue(self.paths.may_reuse(key(2), 4.9))

    def test_idle_connections_of_a_vm_that_is_cut_off_are_not_reused(self):
        self.lose(key(1), 5.0)
        self.lose(key(2), 5.2)
        self.assertFalse(self.paths.may_reuse(key(3), 4.9))
        self.assertTrue(self.paths.may_reuse(key(3), 5.1))
        self.restore(key(1), 6.0)
        self.assertTrue(self.paths.may_reuse(key(3), 4.9))

    # Guards against the word of another VM that is passed on as seen.
    def test_server_that_others_say_is_down_is_dialled_for_others(self):
        self.paths.handle(paths.FoundDown(key(1), True), 1.0)
        self.assertTrue(self.paths.may_relay(key(1), 1.1))

    def test_server_without_a_direct_path_is_not_dialled_for_others(self):
        self.assertTrue(self.paths.may_relay(key(1), 1.0))
        self.lose(key(1), 1.0)
        self.assertFalse(self.paths.may_relay(key(1), 1.1))
        self.paths.handle(paths.FoundNoRelay(key(2)), 1.0)
        self.assertFalse(self.paths.may_relay(key(2), 1.1))
        self.assertTrue(self.paths.may_relay(key(2), 2.1))
        self.lose(key(3), 1.0)
        self.assertFalse(self.paths.may_relay(key(4), 1.1))

    def test_asks_of_other_vms_do_not_keep_a_path_in_use(self):
        self.lose(key(1), 0.0)
        self.paths.may_relay(key(1), paths.IN_USE_S)
        self.assertEqual(self.paths.due_probes(paths.IN_USE_S + 0.1), [])
