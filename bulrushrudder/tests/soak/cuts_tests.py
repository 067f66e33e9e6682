import unittest

from bulrushrudder.tests.builders import planned_stops
from bulrushrudder.tests.soak import cuts

CUT = cuts.Cut(cuts.Hangs(), ('edge-1',), 100.0, 110.0)


def attempts(process, served, failed, sent_s=104.0):
    """Return attempts at a process, some of them served."""
    answered = planned_stops.call(
        process=process, sent_s=sent_s, status=200, whole=True
    )
    refused = planned_stops.call(
        process=process, sent_s=sent_s, status=503, whole=True
    )
    return [answered] * served + [refused] * failed


class JudgeTests(unittest.TestCase):
    def check(self, rules, off, others, **changes):
        sent = [
            *attempts('edge-1/1', *off, **changes),
            *attempts('edge-2/1', *others),
        ]
        found = [broken.rule for broken in cuts.judge(sent, [CUT])]
        self.assertEqual(found, rules)

    def test_machine_that_serves_far_less_is_found(self):
        self.check(['RECOVER'], (60, 40), (98, 2))

    def test_machine_that_serves_two_thirds_as_often_is_sound(self):
        self.check([], (66, 34), (98, 2))

    def test_few_failures_are_allowed(self):
        self.check([], (0, 12), (98, 0))
        self.check(['RECOVER'], (0, 13), (98, 0))

    def test_first_three_seconds_do_not_count(self):
        self.check([], (0, 40), (98, 2), sent_s=102.9)
        self.check(['RECOVER'], (0, 40), (98, 2), sent_s=103.0)

    def test_time_after_the_cut_does_not_count(self):
        self.check([], (0, 40), (98, 2), sent_s=110.0)

    def test_answer_that_is_not_whole_is_not_served(self):
        sent = [
            planned_stops.call(sent_s=104.0, status=200, whole=False),
            *attempts('edge-2/1', 1, 0),
        ]
        off, others = cuts.tries(sent, CUT)
        self.assertEqual((off.served, others.served), (0, 1))
