import unittest

from bulrushrudder.backpressure import statements
from bulrushrudder.entry import limit_reports
from bulrushrudder.tests.builders import fleet

SERVER = fleet.server()
HOST = fleet.owner('vm1')


class LimitReportsTests(unittest.TestCase):
    def setUp(self):
        self.reports = limit_reports.LimitReports()

    def is_due(self, stated, recorded, now_s, host=HOST, sent_s=None):
        sent_s = now_s if sent_s is None else sent_s
        answer = statements.Answer(sent_s, now_s, ())
        return self.reports.is_due(SERVER, stated, recorded, host, answer)

    def test_limit_is_reported_once(self):
        self.assertTrue(self.is_due(1.0, None, 0.0))
        self.assertFalse(self.is_due(1.0, None, 0.5))
        self.assertFalse(self.is_due(1.0, 1.0, 5.0))

    def test_report_is_repeated_to_the_next_coordinator(self):
        self.assertTrue(self.is_due(1.0, None, 0.0))
        self.assertTrue(self.is_due(1.0, None, 0.1, fleet.owner('vm2')))

    def test_report_is_repeated_while_the_log_lacks_it(self):
        self.assertTrue(self.is_due(1.0, None, 0.0))
        self.assertTrue(self.is_due(1.0, None, 1.0))

    def test_limit_in_the_log_is_not_reported(self):
        self.assertFalse(self.is_due(1.0, 1.0, 0.0))

    def test_older_answer_does_not_end_a_limit_that_others_reported(self):
        self.assertFalse(self.is_due(None, 1.0, 2.0, sent_s=1.9))
        self.assertFalse(self.is_due(None, 1.0, 2.5, sent_s=1.9))
        self.assertTrue(self.is_due(None, 1.0, 2.6, sent_s=2.1))

    def test_end_is_reported_also_before_the_log_has_the_limit(self):
        self.assertTrue(self.is_due(1.0, None, 0.0))
        self.assertTrue(self.is_due(None, None, 0.2))
        self.assertFalse(self.is_due(None, None, 0.3))
