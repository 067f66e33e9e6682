import pathlib
import re
import unittest

import bulrushrudder
from bulrushrudder.core import outcomes
from bulrushrudder.metrics import control
from bulrushrudder.metrics import entry

DOCS = pathlib.Path(bulrushrudder.__file__).parents[1] / 'docs'


class OperatingPageTests(unittest.TestCase):
    def test_page_explains_every_metric(self):
        page = (DOCS / 'OPERATIONS.md').read_text()
        explained = set(re.findall(r'^\| `(bulrushrudder_\w+)`', page, re.M))
        metrics = entry.EntryMetrics(), control.ControlMetrics()
        shown = {
            name
            for process_metrics in metrics
            for name in process_metrics.registry.collectors
        }
        self.assertEqual(explained, shown)

    def test_page_mentions_only_existing_reasons(self):
        page = (DOCS / 'OPERATIONS.md').read_text()
        named = set(re.findall(r'`([A-Z]+_[A-Z_]+)`', page))
        known = {reason.name for reason in outcomes.Reason}
        self.assertEqual(named - known, set())
