"""Runs tests; failures that KNOWN-RED.txt lists do not fail the run."""

import pathlib
import unittest

import logbook

ROOT = pathlib.Path(__file__).parents[2]
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
PATTERN = '*_tests.py'


def known_red(text):
    """Return the ids of the tests that are listed as failing.

    :param text: one entry a line: test id, command and seed, observed
        failure and issue, separated by bars.
    """
    lines = [line.strip() for line in text.splitlines()]
    return {
        line.split('|')[0].strip()
        for line in lines
        if line and not line.startswith('#')
    }


def main(names):
    """Run the named tests, or all if none is named.

    :returns: the exit code.
    """
    found = _load_suite(names)
    with logbook.NullHandler().applicationbound():
        outcome = unittest.TextTestRunner(verbosity=1).run(found)
    cases = [case for case, _ in (*outcome.failures, *outcome.errors)]
    cases += outcome.unexpectedSuccesses
    failed = {case.id() for case in cases}
    known = failed & known_red(KNOWN_RED.read_text())
    for name in sorted(known):
        print(f'known red: {name}')
    _print_counts(outcome, cases, len(failed - known), len(known))
    return 1 if failed - known or outcome.testsRun == 0 else 0


def _print_counts(outcome, cases, unknown, known):
    """Print the summary line; a test with failed subtests counts once."""
    broken = {getattr(case, 'test_case', case).id() for case in cases}
    skipped = len(outcome.skipped)
    passed = outcome.testsRun - len(broken) - skipped
    print(f'{passed} passed, {unknown} failed, {skipped + known} skipped')


def _load_suite(names):
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    folder = ROOT / 'bulrushrudder' / 'tests'
    return loader.discover(str(folder), PATTERN, str(ROOT))
