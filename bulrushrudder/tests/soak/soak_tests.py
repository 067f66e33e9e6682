import unittest

from bulrushrudder.tests.soak import soak


class SoakTests(unittest.TestCase):
    """Short plays of seeds; many more are played by hand."""

    maxDiff = None

    def check(self, **terms):
        verdict = soak.play(soak.Plan(**terms))
        self.assertEqual(verdict.breaks, ())
        self.assertGreater(verdict.served, 0.5)
        return verdict

    def test_rules_hold_without_disruptions(self):
        self.check(seed=1, seconds=4.0, disrupts=False)

    def test_rules_hold_while_everything_is_disrupted(self):
        self.check(seed=2, seconds=12.0)

    # Guards against clients that keep to no limit and end a process, or
    # break the promises made to others.

    def test_rules_hold_beside_clients_that_keep_to_no_limit(self):
        self.check(seed=3, seconds=10.0, misbehaves=True)

    # Guards against a system that does not start because the founder of
    # the log was killed before it had founded it.

    def test_system_starts_while_a_control_process_is_killed(self):
        self.check(seed=108, seconds=2.0, disrupts=False, kills_at_start=True)

    # Guards against calls that are passed on and cut off, because a process
    # takes calls until it is killed as long as clients go on.

    def test_no_call_is_cut_off_while_machines_stop_as_planned(self):
        verdict = self.check(seed=5, seconds=5.0, stops=True)
        self.assertGreater(verdict.stops, 0)

    # Guards against voters that are gone and still count, so that a group
    # bears no loss although enough machines are up.

    def test_configuration_comes_back_after_control_machines_were_replaced(
        self,
    ):
        verdict = self.check(seed=8, replacements=True)
        self.assertEqual(verdict.core.replaced, 9)
