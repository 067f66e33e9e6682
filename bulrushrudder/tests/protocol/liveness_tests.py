import unittest

from bulrushrudder.protocol import liveness

STEP_S = 0.25
MINUTE_S = 60.0


def check_repeatedly(link_liveness, has_pending_requests, from_s, to_s):
    steps = int((to_s - from_s) / STEP_S)
    return [
        link_liveness.check(has_pending_requests, from_s + step * STEP_S)
        for step in range(steps + 1)
    ]


class LivenessTests(unittest.TestCase):
    def test_idle_link_sends_no_heartbeat(self):
        link_liveness = liveness.Liveness(False, 0.0)
        self.assertEqual(
            set(check_repeatedly(link_liveness, False, 0.0, MINUTE_S)),
            {liveness.Action.WAIT},
        )

    def test_silent_link_with_pending_request_is_closed(self):
        link_liveness = liveness.Liveness(False, 0.0)
        check_repeatedly(link_liveness, False, 0.0, MINUTE_S)
        actions = check_repeatedly(
            link_liveness, True, MINUTE_S, MINUTE_S + 2.5
        )
        self.assertEqual(actions[0], liveness.Action.WAIT)
        self.assertIn(liveness.Action.ASK, actions)
        self.assertEqual(actions[-1], liveness.Action.CLOSE)

    def test_silent_idle_link_is_closed_if_monitored_when_idle(self):
        link_liveness = liveness.Liveness(True, 0.0)
        actions = check_repeatedly(link_liveness, False, 0.0, 2.5)
        self.assertEqual(actions[-1], liveness.Action.CLOSE)

    def test_responsive_link_stays_open(self):
        link_liveness = liveness.Liveness(True, 0.0)
        for step in range(100):
            now_s = step * STEP_S
            action = link_liveness.check(True, now_s)
            self.assertIsNot(action, liveness.Action.CLOSE)
            if action is liveness.Action.ASK:
                link_liveness.record_message(now_s)
