import importlib
import inspect
import pathlib
import unittest

from bulrushrudder import benchmarks
from bulrushrudder.commands import bench

FOLDER = pathlib.Path(benchmarks.__file__).parent
NOT_IMPORTED = frozenset({'transport'})


class BenchTests(unittest.TestCase):
    def test_every_listed_benchmark_has_main_function(self):
        for name, module in bench.MODULE_BY_NAME.items():
            if name in NOT_IMPORTED:
                # Importing it loads pynng, which starts threads.
                continue
            with self.subTest(name):
                loaded = importlib.import_module(module)
                self.assertTrue(callable(loaded.main))

    def test_every_benchmark_accepts_list_of_arguments(self):
        for name, module in bench.MODULE_BY_NAME.items():
            if name in NOT_IMPORTED:
                continue
            with self.subTest(name):
                loaded = importlib.import_module(module)
                inspect.signature(loaded.main).bind(['--json'])

    def test_every_benchmark_is_listed(self):
        with_main = {
            path.parent.name if path.name == '__main__.py' else path.stem
            for path in FOLDER.rglob('*.py')
            if '\ndef main(' in path.read_text()
        }
        self.assertEqual(with_main, set(bench.MODULE_BY_NAME))
