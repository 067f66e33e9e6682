import unittest

from bulrushrudder.limits import token_bucket

RATE = 10.0
BURST = 100
IDLE_S = 1000.0


class TokenBucketTests(unittest.TestCase):
    def setUp(self):
        self.tokens = token_bucket.TokenBucket(RATE, BURST, float(BURST), 0.0)

    def test_idle_account_holds_no_more_than_burst(self):
        self.assertEqual(self.tokens.level(IDLE_S), BURST)

    def test_slices_count_against_burst(self):
        self.tokens.lend('a', 40, 0.0)
        self.assertEqual(
            self.tokens.level(token_bucket.SLICE_RECLAIM_S - 1), 60
        )

    def test_expired_slice_earns_no_refill_while_outstanding(self):
        self.tokens.lend('a', 40, 0.0)
        later_s = token_bucket.SLICE_RECLAIM_S + 0.5
        self.assertEqual(self.tokens.level(later_s), 60 + 0.5 * RATE)

    def test_refund_does_not_exceed_burst(self):
        self.tokens.lend('a', 40, 0.0)
        self.tokens.take(10)
        self.tokens.refund(50, 0.0)
        self.assertEqual(self.tokens.level(0.0), 60)

    def test_lower_burst_applies_at_once(self):
        self.tokens.set_limits(RATE, 30, 0.0)
        self.assertEqual(self.tokens.level(0.0), 30)

    def test_higher_burst_adds_no_tokens_at_once(self):
        self.tokens.set_limits(RATE, 1000, 0.0)
        self.assertEqual(self.tokens.level(0.0), BURST)

    def test_skipped_span_earns_no_refill(self):
        self.tokens.take(BURST)
        self.tokens.skip_refill(2.0, 5.0)
        self.assertEqual(self.tokens.level(6.0), 3 * RATE)
