import unittest

from returns import result

from bulrushrudder.config import document

VALID = """\
version: 1
accounts:
  - id: acme
    rate: 10
    burst: 100
routes: []
"""


def first_error(text):
    match document.load('d.yaml', text.encode()):
        case result.Failure(problems):
            return str(problems[0])
    return None


class DocumentTests(unittest.TestCase):
    def test_accepts_valid_document(self):
        loaded = document.load('d.yaml', VALID.encode()).unwrap()
        self.assertEqual(loaded.accounts[0].burst, 100)

    def test_errors_name_file_line_and_field(self):
        cases = (
            (VALID.replace('burst', 'bursts'), 'd.yaml:3: accounts[0].burst'),
            (VALID.replace('acme', '123'), 'd.yaml:3: accounts[0].id: expe'),
            (VALID.replace(': 10\n', ': x\n'), 'd.yaml:4: accounts[0].rate'),
            (VALID + 'version: 2\n', 'd.yaml:7: version: duplicate key'),
            (VALID + 'other: 2\n', 'd.yaml:7: other: unknown field'),
            ('version: [', 'd.yaml:1: not YAML'),
            ('', 'd.yaml:0: '),
        )
        for text, expected in cases:
            with self.subTest(expected):
                message = first_error(text)
                self.assertEqual(message[: len(expected)], expected)
