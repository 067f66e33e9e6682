import pathlib
import tempfile
import unittest

import bulrushrudder
from bulrushrudder.config import document
from bulrushrudder.config import rendering
from bulrushrudder.config import settings_file
from bulrushrudder.documents import differences

EXAMPLES = pathlib.Path(bulrushrudder.__file__).parents[1] / 'examples'
FIRMS = ('mrezica', 'synigoros')
SECTIONS_BY_FILE = {
    'entry.yaml': (True, False),
    'control.yaml': (False, True),
    'control-and-entry.yaml': (True, True),
}


def load_document(firm):
    file = EXAMPLES / firm / 'document.yaml'
    return document.load(file, file.read_bytes()).unwrap()


class ExamplesTests(unittest.TestCase):
    def test_example_documents_are_valid(self):
        for firm in FIRMS:
            with self.subTest(firm):
                loaded = load_document(firm)
                self.assertEqual(len(loaded.accounts), 5)
                self.assertTrue([r for r in loaded.routes if not r.repeatable])

    def test_example_settings_are_valid(self):
        for firm in FIRMS:
            for name, sections in SECTIONS_BY_FILE.items():
                with self.subTest(f'{firm}/{name}'):
                    loaded = self._load_settings(EXAMPLES / firm / name)
                    present = (
                        loaded.entry is not None,
                        loaded.control is not None,
                    )
                    self.assertEqual(present, sections)
                    self.assertEqual(len(loaded.controls), 3)

    def _load_settings(self, file):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / 'secrets').mkdir()
            for kind in ('cluster', 'operators', 'backends'):
                (folder / 'secrets' / kind).write_text('0123456789abcdef')
            copy = folder / 'settings.yaml'
            copy.write_bytes(file.read_bytes())
            return settings_file.load(str(copy)).unwrap()


class RenderingTests(unittest.TestCase):
    def test_rendered_document_loads_as_equal_document(self):
        for firm in FIRMS:
            with self.subTest(firm):
                expected = differences.canonical(load_document(firm))
                text = ''.join(rendering.iter_yaml(expected))
                loaded = document.load('rendered', text.encode()).unwrap()
                self.assertEqual(loaded, expected)
