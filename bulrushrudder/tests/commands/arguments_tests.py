import contextlib
import io
import unittest

from bulrushrudder.commands import catalogue
from bulrushrudder.commands import errors
from bulrushrudder.commands import program


def run(*args):
    """Run the command line; return its exit code, stdout and stderr."""
    output = io.StringIO()
    problems = io.StringIO()
    with contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(problems):
            code = program.main(list(args))
    return code, output.getvalue(), problems.getvalue()


class ArgumentsTests(unittest.TestCase):
    def test_invalid_arguments_give_one_error_line_and_no_output(self):
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
        for args, code, expected in cases:
            with self.subTest(args):
                ended = run(*args.split())
                self.assertEqual(ended[:2], (int(code), ''))
                self.assertIn(expected, ended[2])
                self.assertEqual(ended[2].count('\n'), 1)

    def test_every_command_has_help(self):
        for args in _commands(catalogue.COMMANDS):
            with self.subTest(args):
                code, text, problems = run(*args, '--help')
                self.assertEqual((code, problems), (0, ''))
                self.assertIn('bulrushrudder ' + ' '.join(args), text)

    def test_accepts_flags_after_arguments(self):
        code, text, _ = run('key', 'new', '--json')
        self.assertEqual(code, 0)
        self.assertIn('"digest": "sha256:', text)
        self.assertIn('"version"', run('version', '--json')[1])


def _commands(group, names=()):
    for name, command in group.items():
        yield (*names, name)
        if isinstance(command, dict):
            yield from _commands(command, (*names, name))
