import unittest

from bulrushrudder.protocol import liveness

STEP_S = 0.25
MINUTE_S = 60.0


def verdicts(found, waiting, from_s, to_s):
    steps = int((to_s - from_s) / STEP_S)
    return [
        found.check(waiting, from_s + step * STEP_S)
        for step in range(steps + 1)
    ]


class LivenessTests(unittest.TestCase):
    def test_idle_link_asks_nothing(self):
        found = liveness.Liveness(False, 0.0)
        self.assertEqual(
            set(verdicts(found, False, 0.0, MINUTE_S)),
            {liveness.Action.WAIT},
        )

    def test_silence_while_waiting_closes(self):
        found = liveness.Liveness(False, 0.0)
        verdicts(found, False, 0.0, MINUTE_S)
        seen = verdicts(found, True, MINUTE_S, MINUTE_S + 2.5)
        self.assertEqual(seen[0], liveness.Action.WAIT)
        self.assertIn(liveness.Action.ASK, seen)
        self.assertEqual(seen[-1], liveness.Action.CLOSE)

    def test_silence_closes_a_link_that_must_always_live(self):
        found = liveness.Liveness(True, 0.0)
        seen = verdicts(found, False, 0.0, 2.5)
        self.assertEqual(seen[-1], liveness.Action.CLOSE)

    def test_answers_keep_a_link(self):
        found = liveness.Liveness(True, 0.0)
        for step in range(100):
            now_s = step * STEP_S
            verdict = found.check(True, now_s)
            self.assertIsNot(verdict, liveness.Action.CLOSE)
            if verdict is liveness.Action.ASK:
                found.record_message(now_s)
