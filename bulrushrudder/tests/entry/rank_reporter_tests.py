import collections
import types
import unittest
from unittest import mock

from bulrushrudder.entry import rank_reporter
from bulrushrudder.events import catalogue
from bulrushrudder.events import log
from bulrushrudder.metrics import entry
from bulrushrudder.placement import coordinator
from bulrushrudder.placement import rank_counts
from bulrushrudder.tests.builders import places


class RankReporterTests(unittest.TestCase):
    def setUp(self):
        self.counts = rank_counts.RankCounts()
        self.metrics = entry.EntryMetrics()
        client = types.SimpleNamespace(take_rank_counts=lambda: self.counts)
        self.reporter = rank_reporter.RankReporter(client, self.metrics)

    def report(self, now_s, queued=(), granted=(), refused=()):
        self.counts = rank_counts.RankCounts(
            *map(collections.Counter, (queued, granted, refused))
        )
        with mock.patch.object(log, 'emit') as emit:
            self.reporter.report(now_s)
        return emit.call_args_list

    def test_metrics_give_numbers_by_rank(self):
        self.report(1.0, queued=[2, 2], granted=[0], refused=[2])
        self.report(2.0, granted=[0])
        text = self.metrics.render([])[0].decode()
        for line in (
            'bulrushrudder_waiting_requests{rank="2"} 0',
            'bulrushrudder_placements_total{outcome="granted",rank="0"} 2',
            'bulrushrudder_placements_total{outcome="refused",rank="2"} 1',
        ):
            self.assertIn(line, text)

    def test_logs_refusals_once_per_interval(self):
        lines = self.report(10.0, granted=[0], refused=[2])
        self.assertEqual(
            lines,
            [
                mock.call(
                    catalogue.PLACES_REFUSED,
                    queued={},
                    granted={'0': 1},
                    refused={'2': 1},
                )
            ],
        )
        self.assertEqual(self.report(11.0, granted=[0], refused=[2]), [])

    def test_logs_nothing_with_one_rank(self):
        self.assertEqual(self.report(10.0, granted=[5], refused=[5]), [])


class CoordinatorCountsTests(unittest.TestCase):
    def test_counts_each_request_once(self):
        counting = coordinator.Coordinator(max_booked_ahead=0)
        counting.handle(places.servers_changed(1, 1, places=1), 0.0)
        for number, rank in enumerate((0, 1, 2)):
            request = places.placement_request(number, rank=rank)
            counting.handle(request, 0.0)
        first = counting.take_rank_counts()
        self.assertEqual(first.granted, {0: 1})
        self.assertEqual(first.queued, {1: 1, 2: 1})
        counting.handle(
            places.placement_request(9, rank=0, patience_s=90.0), 9.0
        )
        second = counting.take_rank_counts()
        self.assertEqual(second.refused, {1: 1, 2: 1})
        self.assertEqual(second.granted, {})
