import tracemalloc
import unittest

from bulrushrudder.config import document
from bulrushrudder.core import keys

ACCOUNTS = 2000
# Of 128 MB, interpreter and libraries need 48 MB. The rest is shared by
# 17,000 accounts, half of it for validation and half for the loaded document.
MAX_BYTES_PER_ACCOUNT = (128_000_000 - 48_000_000) // 17_000 // 2


class MemoryTests(unittest.TestCase):
    def test_loading_large_document_stays_within_memory_limit(self):
        accounts = ''.join(
            f'  - id: account-{number}\n    rate: 10\n    burst: 100\n'
            f'    keys: ["{keys.digest(str(number))}"]\n'
            for number in range(ACCOUNTS)
        )
        source = f'version: 1\nroutes: []\naccounts:\n{accounts}'.encode()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        document.load('d', source).unwrap()
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak // ACCOUNTS, MAX_BYTES_PER_ACCOUNT)
