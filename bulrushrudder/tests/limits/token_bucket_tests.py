import unittest

from bulrushrudder.limits import token_bucket

RATE = 10.0
BURST = 100
LONG_S = 1000.0


class TokenBucketTests(unittest.TestCase):
    def setUp(self):
        self.tokens = token_bucket.TokenBucket(RATE, BURST, float(BURST), 0.0)

    def test_an_idle_account_holds_no_more_than_its_burst(self):
        self.assertEqual(self.tokens.level(LONG_S), BURST)

    def test_slices_count_against_the_burst(self):
        self.tokens.lend('a', 40, 0.0)
        self.assertEqual(
            self.tokens.level(token_bucket.SLICE_RECLAIM_S - 1), 60
        )

    def test_an_ended_slice_earns_no_refill_for_its_time(self):
        self.tokens.lend('a', 40, 0.0)
        later_s = token_bucket.SLICE_RECLAIM_S + 0.5
        self.assertEqual(self.tokens.level(later_s), 60 + 0.5 * RATE)

    def test_returns_go_no_higher_than_the_burst(self):
        self.tokens.lend('a', 40, 0.0)
        self.tokens.take(10)
        self.tokens.refund(50, 0.0)
        self.assertEqual(self.tokens.level(0.0), 60)

    def test_a_lower_burst_binds_at_once(self):
        self.tokens.set_limits(RATE, 30, 0.0)
        self.assertEqual(self.tokens.level(0.0), 30)

    def test_a_higher_burst_gives_nothing_at_once(self):
        self.tokens.set_limits(RATE, 1000, 0.0)
        self.assertEqual(self.tokens.level(0.0), BURST)

    def test_a_span_that_is_skipped_earns_nothing(self):
        self.tokens.take(BURST)
        self.tokens.skip_refill(2.0, 5.0)
        self.assertEqual(self.tokens.level(6.0), 3 * RATE)
