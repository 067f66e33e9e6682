import unittest

from bulrushrudder.placement import memory_forecast

TOKEN_S = 0.004


def run(prompt, expected, decode_start_s=0.0, output_tokens=2000):
    return memory_forecast.RunningRequest(
        prompt, decode_start_s, expected, output_tokens
    )


class PeakTests(unittest.TestCase):
    def test_single_request_peaks_at_prompt_plus_output(self):
        self.assertAlmostEqual(
            memory_forecast.peak_tokens([run(3000, 500)], 0.0, TOKEN_S), 3500
        )

    def test_reuses_memory_of_request_that_ends_first(self):
        runs = [run(3000, 100), run(3000, 1000)]
        self.assertAlmostEqual(
            memory_forecast.peak_tokens(runs, 0.0, TOKEN_S), 6200
        )

    def test_counts_generated_tokens(self):
        runs = [run(3000, 1000)]
        now_s = 250 * TOKEN_S
        self.assertAlmostEqual(runs[0].generated(now_s, TOKEN_S), 250)
        self.assertAlmostEqual(
            memory_forecast.peak_tokens(runs, now_s, TOKEN_S), 4000
        )

    def test_extends_estimate_of_overrunning_request(self):
        peak = memory_forecast.peak_tokens(
            [run(3000, 100)], 200 * TOKEN_S, TOKEN_S
        )
        self.assertAlmostEqual(peak, 3000 + 200 * 1.15)

    def test_peak_is_capped_by_output_limit(self):
        peak = memory_forecast.peak_tokens([run(3000, 5000)], 0.0, TOKEN_S)
        self.assertAlmostEqual(peak, 5000)
