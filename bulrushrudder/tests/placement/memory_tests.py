import unittest

from bulrushrudder.placement import memory

TOKEN_S = 0.004


def run(prompt, expected, begins_s=0.0, most=2000):
    return memory.Run(prompt, begins_s, expected, most)


class PeakTests(unittest.TestCase):
    def test_one_request_takes_its_prompt_and_its_output(self):
        self.assertAlmostEqual(
            memory.peak([run(3000, 500)], 0.0, TOKEN_S), 3500
        )

    def test_what_ends_first_makes_room_for_what_goes_on(self):
        runs = [run(3000, 100), run(3000, 1000)]
        self.assertAlmostEqual(memory.peak(runs, 0.0, TOKEN_S), 6200)

    def test_what_was_made_counts(self):
        runs = [run(3000, 1000)]
        now_s = 250 * TOKEN_S
        self.assertAlmostEqual(runs[0].made(now_s, TOKEN_S), 250)
        self.assertAlmostEqual(memory.peak(runs, now_s, TOKEN_S), 4000)

    def test_a_request_past_its_estimate_goes_on_for_a_while(self):
        found = memory.peak([run(3000, 100)], 200 * TOKEN_S, TOKEN_S)
        self.assertAlmostEqual(found, 3000 + 200 * 1.15)

    def test_never_above_the_bound(self):
        found = memory.peak([run(3000, 5000)], 0.0, TOKEN_S)
        self.assertAlmostEqual(found, 5000)
