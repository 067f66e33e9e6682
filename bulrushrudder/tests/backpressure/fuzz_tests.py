import os
import unittest

from bulrushrudder.tests.builders import stating_server

SEEDS = int(os.environ.get('STATEMENT_SEEDS', '4'))
STEPS = 10_000
# Requests that may still be on their way when a server asks for a pause.
MAX_CROSSING = 2


class StatementFuzzTests(unittest.TestCase):
    def test_servers_that_leave_or_pause_get_no_new_requests(self):
        for seed in range(SEEDS):
            server = stating_server.StatingServer(seed)
            server.run(STEPS)
            with self.subTest(seed=seed):
                self.assertEqual(server.late_after_leaving, 0)
                self.assertLessEqual(server.most_in_pause, MAX_CROSSING)
                self.assertGreater(server.served, STEPS / 20)
