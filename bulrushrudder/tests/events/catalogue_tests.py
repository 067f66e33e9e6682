import pathlib
import re
import unittest

import bulrushrudder
from bulrushrudder.events import catalogue

PAGE = pathlib.Path(bulrushrudder.__file__).parents[1] / 'docs' / 'EVENTS.md'
ROW = re.compile(r'^\| (\d+) \| (\w+) \| (.+?) \| (.+) \|$', re.MULTILINE)


class CatalogueTests(unittest.TestCase):
    def test_page_lists_all_events(self):
        rows = ROW.findall(PAGE.read_text())
        events = [
            (str(e.number), e.level.value, e.name, e.meaning)
            for e in catalogue.all_events()
        ]
        self.assertEqual(rows, events)

    def test_numbers_are_unique(self):
        numbers = [event.number for event in catalogue.all_events()]
        self.assertEqual(len(numbers), len(set(numbers)))
