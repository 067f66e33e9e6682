import contextlib
import io
import unittest

from bulrushrudder.commands import catalogue
from bulrushrudder.commands import errors
from bulrushrudder.commands import program


def run(*words):
    """Run the command line and return its exit code and outputs."""
    output = io.StringIO()
    problems = io.StringIO()
    with contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(problems):
            code = program.main(list(words))
    return code, output.getvalue(), problems.getvalue()


class MistakesTests(unittest.TestCase):
    def test_each_mistake_is_one_line_and_nothing_runs(self):
        usage = errors.ExitCode.USAGE
        file = errors.ExitCode.INVALID_FILE
        cases = (
            ('keys', usage, "unknown command 'keys'"),
            ('version upper', usage, "unexpected argument 'upper'"),
            ('version real', usage, "unexpected argument 'real'"),
            ('key new --jsn', usage, 'unknown flag --jsn'),
            ('key new -5', usage, 'unknown flag -5'),
            ('key new --json=5', usage, '--json takes no value'),
            ('key new --nojson', usage, 'unknown flag --nojson'),
            ('key new -- --trace', usage, 'unknown flag --'),
            ('key new - x', usage, "unexpected argument '-'"),
            ('key copy', usage, "unknown command 'copy'"),
            ('document check', usage, 'required argument file is missing'),
            (
                'document check a --file b',
                usage,
                'file is given more than once',
            ),
            ('document check --file', usage, '--file needs a value'),
            ('document check missing.yaml', file, 'missing.yaml:0: cannot'),
            ('document check 00123', file, '00123:0: cannot be read'),
            ('document check 1e3', file, '1e3:0: cannot be read'),
            ('document show staging a:1 s', usage, "found 'staging'"),
            ('status here secret', usage, 'expected host:port'),
            ('status 127.0.0.1:1 no-secret', file, 'no-secret: cannot be'),
            ('entry missing.yaml', file, 'missing.yaml:0: cannot be read'),
            ('entry missing.yaml --log_format', usage, 'needs a value'),
            ('bench nothing', usage, "unknown benchmark 'nothing'"),
        )
        for words, code, expected in cases:
            with self.subTest(words):
                found = run(*words.split())
                self.assertEqual(found[:2], (int(code), ''))
                self.assertIn(expected, found[2])
                self.assertEqual(found[2].count('\n'), 1)

    def test_help_of_every_command_is_printed(self):
        for words in _commands(catalogue.COMMANDS):
            with self.subTest(words):
                code, text, problems = run(*words, '--help')
                self.assertEqual((code, problems), (0, ''))
                self.assertIn('bulrushrudder ' + ' '.join(words), text)

    def test_flags_are_taken_in_any_order_and_form(self):
        code, text, _ = run('key', 'new', '--json')
        self.assertEqual(code, 0)
        self.assertIn('"digest": "sha256:', text)
        self.assertIn('"version"', run('version', '--json')[1])


def _commands(group, names=()):
    for name, found in group.items():
        yield (*names, name)
        if isinstance(found, dict):
            yield from _commands(found, (*names, name))
