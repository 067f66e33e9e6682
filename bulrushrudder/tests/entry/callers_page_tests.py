import pathlib
import re
import unittest

import bulrushrudder
from bulrushrudder.core import outcomes
from bulrushrudder.entry import completions

PAGE = pathlib.Path(bulrushrudder.__file__).parents[1] / 'docs' / 'CALLERS.md'
ROW = re.compile(
    r'^\| (\d+) \| (\w+) \| (\d+) \| ([^|]+) \| ([^|]+) \|$', re.MULTILINE
)
RAN = {e.value for e in outcomes.Execution} | {'as `execution` says'}


class CallersPageTests(unittest.TestCase):
    def test_page_lists_every_reason_with_number_and_status(self):
        rows = ROW.findall(PAGE.read_text())
        listed = [(int(row[0]), row[1], int(row[2])) for row in rows]
        expected = [
            (
                int(reason),
                reason.name.lower(),
                completions.STATUS_BY_REASON.get(
                    reason, completions.DEFAULT_STATUS
                ),
            )
            for reason in outcomes.Reason
        ]
        self.assertEqual(listed, expected)
        for row in rows:
            self.assertIn(row[3], RAN)
