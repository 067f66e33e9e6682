import unittest

from bulrushrudder.benchmarks import limits

MAX_MESSAGES = 3.0
MAX_NODE_BYTES_A_SECOND = 2048
LOUD = 4


class LimitsBoundsTests(unittest.TestCase):
    """Bounds of the targets: nothing over, no calm account refused."""

    @classmethod
    def setUpClass(cls):
        table = limits.table('small', limits.small(20.0), (LOUD,))
        names = [column.name for column in table.columns]
        cls.ways = {
            cells[0]: dict(zip(names, cells, strict=True))
            for cells in table.rows
        }

    def test_authority_keeps_the_targets(self):
        found = self.ways['authority']
        self.assertEqual(found['over the limit'], 0)
        self.assertEqual(found['of them of calm accounts'], 0)
        self.assertLessEqual(found['messages a request'], MAX_MESSAGES)
        self.assertLess(found['bytes a node'], MAX_NODE_BYTES_A_SECOND)

    def test_naive_ways_miss_them(self):
        split = self.ways['even split']
        alone = self.ways['each alone']
        self.assertGreater(split['of them of calm accounts'], 0)
        self.assertGreater(alone['over the limit'], 0)
