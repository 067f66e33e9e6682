import unittest

from bulrushrudder.tests.soak import soak


class SoakTests(unittest.TestCase):
    """Short plays of seeds; many more are played by hand."""

    def check(self, **terms):
        verdict = soak.play(soak.Plan(**terms))
        self.assertEqual(verdict.breaks, ())
        self.assertGreater(verdict.served, 0.5)

    def test_rules_hold_without_disruptions(self):
        self.check(seed=1, seconds=4.0, disrupts=False)

    def test_rules_hold_while_everything_is_disrupted(self):
        self.check(seed=2, seconds=12.0)
