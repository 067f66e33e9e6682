import unittest

from bulrushrudder.core import outcomes
from bulrushrudder.metrics import entry

ACCOUNTS = 17_000


class EntryMetricsTests(unittest.TestCase):
    def test_limits_number_of_label_sets(self):
        metrics = entry.EntryMetrics()
        for number in range(ACCOUNTS):
            route = f'route-{number % 31}'
            metrics.latency_recorder(route, f'account-{number}', 0.0)
            metrics.count_answer(f'route-{number}')
            metrics.count_refusal(outcomes.Reason.OVER_RATE, f'route-{number}')
        text = metrics.render([])[0].decode()
        routes = text.count('bulrushrudder_answers_total{')
        self.assertEqual(routes, entry.MAX_ROUTE_LABEL_SETS + 1)
        pairs = text.count('bulrushrudder_first_token_seconds_count{')
        self.assertEqual(pairs, entry.MAX_ROUTE_ACCOUNT_LABEL_SETS + 1)
        refusals = text.count('bulrushrudder_refusals_total{')
        self.assertEqual(refusals, entry.MAX_ROUTE_LABEL_SETS + 1)
        self.assertIn('route="other"', text)
