import unittest

from bulrushrudder.limits import spare

TOKENS = 140_000.0
WINDOW_S = 8.0
ENTRIES = 9


class SpareTokensTests(unittest.TestCase):
    def test_shares_stay_below_limit_in_any_window(self):
        parts = [spare.SpareTokens(TOKENS, WINDOW_S) for _ in range(ENTRIES)]
        granted = []
        for step in range(400):
            now_s = step * 0.1
            for part in parts:
                tokens = 200 + step * 37 % 5000
                if part.take('acme', tokens, ENTRIES, now_s):
                    granted.append((now_s, tokens))
        for since_s, _ in granted:
            window = [
                tokens
                for at_s, tokens in granted
                if since_s <= at_s <= since_s + WINDOW_S
            ]
            self.assertLessEqual(sum(window), TOKENS)
        self.assertGreater(sum(tokens for _, tokens in granted), TOKENS)

    def test_accounts_have_separate_shares(self):
        part = spare.SpareTokens(TOKENS, WINDOW_S)
        self.assertTrue(part.take('acme', 5000, ENTRIES, 0.0))
        self.assertTrue(part.take('other', 5000, ENTRIES, 0.0))

    def test_grants_nothing_without_limit(self):
        self.assertFalse(spare.NO_SPARE_TOKENS.take('acme', 1, 1, 0.0))
