import unittest

from bulrushrudder.lifecycle import shutdown

REQUESTED_S = 100.0
BALANCER_S = 2.5
LIMIT_S = 8.0


class ShutdownTests(unittest.TestCase):
    def setUp(self):
        self.planned = shutdown.plan(REQUESTED_S, BALANCER_S, LIMIT_S)

    def test_phases_follow_each_other(self):
        for after_s, phase in (
            (0.0, shutdown.Leaving()),
            (2.4, shutdown.Leaving()),
            (2.5, shutdown.Draining()),
            (6.9, shutdown.Draining()),
            (7.0, shutdown.Ending()),
            (9.0, shutdown.Ending()),
        ):
            with self.subTest(after_s):
                found = self.planned.phase(REQUESTED_S + after_s)
                self.assertEqual(found, phase)

    def test_calls_are_accepted_only_while_leaving(self):
        for after_s, needed_s, accepted in (
            (0.0, 0.0, True),
            (2.4, 0.0, True),
            (2.4, 4.5, True),
            (2.4, 5.0, False),
            (2.5, 0.0, False),
            (7.5, 0.0, False),
        ):
            with self.subTest(after_s=after_s, needed_s=needed_s):
                now_s = REQUESTED_S + after_s
                found = self.planned.accepts(now_s, needed_s)
                self.assertEqual(found, accepted)

    def test_steps_end_before_process_is_killed(self):
        self.assertLess(self.planned.end_s, REQUESTED_S + LIMIT_S)
        now_s = self.planned.end_s - 0.3
        self.assertAlmostEqual(self.planned.left_s(now_s, 5.0), 0.3)
        self.assertAlmostEqual(self.planned.left_s(now_s, 0.1), 0.1)
        self.assertAlmostEqual(self.planned.left_s(now_s, 5.0, 0.1), 0.2)
        self.assertEqual(self.planned.left_s(now_s + 1.0, 0.1), 0.0)

    def test_calls_that_wait_are_refused_while_others_can_finish(self):
        send_until_s = self.planned.send_until_s
        self.assertLess(self.planned.accept_until_s, send_until_s)
        self.assertLess(send_until_s, self.planned.finish_until_s)

    def test_process_that_is_never_killed_finishes_all_calls(self):
        planned = shutdown.plan(REQUESTED_S, BALANCER_S)
        now_s = REQUESTED_S + 3600.0
        self.assertEqual(planned.phase(now_s), shutdown.Draining())
        self.assertTrue(planned.accepts(REQUESTED_S + 1.0, 900.0))

    def test_short_limit_leaves_time_for_each_phase(self):
        for limit_s in (0.5, 1.0, 2.0, 4.0):
            with self.subTest(limit_s):
                planned = shutdown.plan(REQUESTED_S, BALANCER_S, limit_s)
                self.assertLess(REQUESTED_S, planned.accept_until_s)
                self.assertLess(planned.accept_until_s, planned.finish_until_s)
                self.assertLess(planned.finish_until_s, planned.end_s)
                self.assertLess(planned.end_s, REQUESTED_S + limit_s)
