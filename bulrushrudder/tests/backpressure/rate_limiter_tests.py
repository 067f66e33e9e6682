import random
import unittest

from bulrushrudder.backpressure import rate_limiter

WINDOW_S = 4.0


class RateLimiterTests(unittest.TestCase):
    def setUp(self):
        self.limiter = rate_limiter.RateLimiter()

    def test_server_without_a_limit_is_not_paced(self):
        self.limiter.take('s', 0.0)
        self.assertEqual(self.limiter.wait_s('s', 0.0), 0.0)
        self.limiter.update('s', 1, 2.0, 0.0)
        self.limiter.update('s', 1, None, 1.0)
        self.assertEqual(self.limiter.wait_s('s', 1.0), 0.0)

    def test_starts_without_credit(self):
        self.limiter.update('s', 1, 0.5, 10.0)
        self.assertEqual(self.limiter.wait_s('s', 10.0), 2.0)

    def test_an_older_incarnation_changes_nothing(self):
        self.limiter.update('s', 2, 1.0, 0.0)
        self.limiter.update('s', 1, None, 0.0)
        self.assertEqual(self.limiter.limits_by_id, {'s': (2, 1.0)})

    def test_a_limit_of_zero_lets_a_request_pass_now_and_then(self):
        self.limiter.update('s', 1, 0.0, 0.0)
        self.assertEqual(self.limiter.wait_s('s', 10.0), 0.0)

    def test_random_demand_keeps_to_the_limit_in_any_window(self):
        for seed in range(20):
            draw = random.Random(seed)
            limiter = rate_limiter.RateLimiter()
            requests_per_s = draw.choice((0.3, 1.0, 2.8, 20.0))
            limiter.update('s', 1, requests_per_s, 0.0)
            now_s = 0.0
            sent = []
            for _ in range(2000):
                now_s += draw.expovariate(requests_per_s * 3)
                if draw.random() < 0.01:
                    now_s += draw.uniform(0.0, 10.0)
                if limiter.wait_s('s', now_s) == 0.0:
                    limiter.take('s', now_s)
                    sent.append(now_s)
            most = max(
                sum(t <= u < t + WINDOW_S for u in sent[i : i + 200])
                for i, t in enumerate(sent)
            )
            with self.subTest(seed=seed, requests_per_s=requests_per_s):
                self.assertLessEqual(most, requests_per_s * WINDOW_S + 2)
