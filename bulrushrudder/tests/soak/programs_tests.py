import io
import pathlib
import random
import unittest

from bulrushrudder.tests.soak import programs
from bulrushrudder.tests.soak import record


class FleetTests(unittest.TestCase):
    # Guards against two plays of one seed that talk to each other's
    # programs.

    def test_fleets_of_one_seed_use_different_networks(self):
        fleets = [
            programs.Fleet(
                pathlib.Path(), record.Record(io.StringIO()), random.Random(1)
            )
            for _ in range(2)
        ]
        for fleet in fleets:
            self.addCleanup(fleet.end)
        first, second = (fleet.controls[0].ip for fleet in fleets)
        self.assertNotEqual(first, second)
