"""Checks of imports, of platform terms and of class patterns."""

import ast
import importlib
import pathlib
import unittest

import bulrushrudder

ROOT = pathlib.Path(bulrushrudder.__file__).parent
PURE_PACKAGES = (
    'core',
    'documents',
    'state',
    'consensus',
    'observers',
    'limits',
    'idempotency',
    'placement',
    'membership',
    'lifecycle',
    'overload',
    'backpressure',
)
IO_MODULES = frozenset(
    {
        'aiohttp',
        'asyncio',
        'logbook',
        'msgspec',
        'os',
        'pathlib',
        'pydantic',
        'pynng',
        'random',
        'secrets',
        'socket',
        'time',
    }
)
ALLOWED_IO_MODULES = {'core/keys.py': {'secrets'}}
PROCESS_AND_THREAD_MODULES = frozenset(
    {
        'multiprocessing',
        'subprocess',
        'threading',
        'concurrent',
        '_thread',
        'pty',
    }
)
IO_PACKAGES = frozenset(
    {
        'commands',
        'config',
        'control',
        'engines',
        'entry',
        'events',
        'metrics',
        'platform',
        'protocol',
        'standins',
        'storage',
        'utils',
    }
)
PLATFORM_NAMES = (
    'Attempt-Id',
    'Deadline-Ms',
    'Expect-Instance',
    'Kv-Source',
    'Length-Hint',
    'Not-Executed',
    'Prompt-Prefix',
    'Resumes',
    'Server-Leaving',
    'Server-Limit',
    'Server-Signature',
    'Token-Usage',
    'api_keys',
    'cold_remaining_ms',
    'fencing_token',
    'kv_bytes',
    'kv_capacity',
    'kv_retention_s',
    'path_prefix',
    'route_type',
    'target_itl_ms',
    'target_latency_ms',
    'uncached_tokens',
    '/bulrushrudder/',
)
# Permissions go by the event loop's clock. Other clocks are read to tell
# processes of a VM apart, to stamp and count lines of the log, in commands
# and by stand-ins.
ALLOWED_CLOCKS = {
    'commands/waiting.py': {'monotonic'},
    'control/process.py': {'time_ns'},
    'entry/process.py': {'time_ns'},
    'events/log.py': {'now'},
    'events/output.py': {'monotonic'},
    'standins/fleet.py': {'time_ns'},
    'utils/event_loop.py': {'clock_gettime'},
}
CLOCK_MODULES = frozenset({'time', 'datetime'})
NO_CLOCKS = frozenset({'sleep', 'datetime', 'UTC', 'CLOCK_BOOTTIME'})
# They measure durations.
MEASURING_PACKAGES = ('benchmarks', 'capacity')
PROCESS_AND_THREAD_CALLS = frozenset(
    {
        'fork',
        'create_subprocess_exec',
        'create_subprocess_shell',
        'run_in_executor',
        'to_thread',
        'popen',
        'system',
    }
)


def source_files(folder):
    return sorted(
        path
        for path in (ROOT / folder).rglob('*.py')
        if 'tests' not in path.relative_to(ROOT).parts
    )


def iter_imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom):
            yield from (f'{node.module}.{a.name}' for a in node.names)


def forbidden_imports(path, allowed=frozenset()):
    found = set()
    for name in iter_imports(path):
        parts = name.split('.')
        if parts[0] in IO_MODULES - allowed:
            found.add(name)
        if parts[0] == 'bulrushrudder' and parts[1] in IO_PACKAGES:
            found.add(name)
    return found


class PurePackagesTests(unittest.TestCase):
    def test_import_neither_io_nor_codec(self):
        for package in PURE_PACKAGES:
            for path in source_files(package):
                name = str(path.relative_to(ROOT))
                allowed = ALLOWED_IO_MODULES.get(name, set())
                with self.subTest(name):
                    found = forbidden_imports(path, allowed)
                    self.assertEqual(found, set())

    def test_detects_import_of_io_module(self):
        path = ROOT / 'entry' / 'frontend.py'
        self.assertIn('asyncio', forbidden_imports(path))


class PlatformTests(unittest.TestCase):
    def test_platform_names_occur_only_in_platform_package(self):
        for path in source_files('.'):
            name = str(path.relative_to(ROOT))
            if name.startswith('platform/'):
                continue
            text = path.read_text()
            with self.subTest(name):
                found = {word for word in PLATFORM_NAMES if word in text}
                self.assertEqual(found, set())

    def test_no_other_package_imports_platform(self):
        for path in source_files('.'):
            name = str(path.relative_to(ROOT))
            if name.startswith('platform/'):
                continue
            with self.subTest(name):
                found = [
                    module
                    for module in iter_imports(path)
                    if module.startswith('bulrushrudder.platform')
                ]
                self.assertEqual(found, [])


class ProcessesTests(unittest.TestCase):
    def test_no_module_starts_a_process_or_thread(self):
        for path in source_files('.'):
            with self.subTest(str(path.relative_to(ROOT))):
                roots = {name.split('.')[0] for name in iter_imports(path)}
                self.assertEqual(roots & PROCESS_AND_THREAD_MODULES, set())
                calls = {
                    node.attr
                    for node in ast.walk(ast.parse(path.read_text()))
                    if isinstance(node, ast.Attribute)
                }
                self.assertEqual(calls & PROCESS_AND_THREAD_CALLS, set())


def clocks_read(path):
    """Return the functions of the modules of clocks that a file uses."""
    found = {
        name.split('.')[1]
        for name in iter_imports(path)
        if name.split('.')[0] in CLOCK_MODULES and '.' in name
    }
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute) and not isinstance(
            node.value, ast.Call
        ):
            root = ast.unparse(node.value).split('.')[0]
            if root in CLOCK_MODULES:
                found.add(node.attr)
    return found - NO_CLOCKS


class ClocksTests(unittest.TestCase):
    # Guards against a permission that goes by a clock which steps, or which
    # stands still while the VM is suspended.

    def test_only_event_loop_reads_a_clock_for_permissions(self):
        for path in source_files('.'):
            name = str(path.relative_to(ROOT))
            if name.startswith(MEASURING_PACKAGES):
                continue
            with self.subTest(name):
                allowed = ALLOWED_CLOCKS.get(name, set())
                self.assertEqual(clocks_read(path), allowed)

    def test_detects_clock_that_is_read(self):
        path = ROOT / 'entry' / 'process.py'
        self.assertEqual(clocks_read(path), {'time_ns'})


class PatternsTests(unittest.TestCase):
    def test_class_patterns_name_classes(self):
        for path in source_files('.'):
            name = str(path.relative_to(ROOT.parent).with_suffix(''))
            module = importlib.import_module(name.replace('/', '.'))
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.MatchClass):
                    continue
                pattern = ast.unparse(node.cls)
                with self.subTest(f'{name}:{node.lineno} {pattern}'):
                    found = eval(pattern, vars(module))
                    self.assertIsInstance(found, type)
