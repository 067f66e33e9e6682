import unittest

from bulrushrudder.benchmarks import limits

MAX_MESSAGES = 3.0
MAX_NODE_BYTES_PER_S = 2048
OVER_RATE_ACCOUNT = 4


class LimitsBoundsTests(unittest.TestCase):
    """No grants over the limit, no refusals of accounts inside their rate."""

    @classmethod
    def setUpClass(cls):
        table = limits.table(
            'small', limits.small_workload(20.0), (OVER_RATE_ACCOUNT,)
        )
        names = [column.name for column in table.columns]
        cls.cells_by_way = {
            cells[0]: dict(zip(names, cells, strict=True))
            for cells in table.rows
        }

    def test_authority_meets_the_targets(self):
        authority = self.cells_by_way['authority']
        self.assertEqual(authority['over the limit'], 0)
        self.assertEqual(authority['of them of calm accounts'], 0)
        self.assertLessEqual(authority['messages a request'], MAX_MESSAGES)
        self.assertLess(authority['bytes a node'], MAX_NODE_BYTES_PER_S)

    def test_baselines_miss_the_targets(self):
        split = self.cells_by_way['even split']
        alone = self.cells_by_way['each alone']
        self.assertGreater(split['of them of calm accounts'], 0)
        self.assertGreater(alone['over the limit'], 0)
