"""Runs all tests and prints a closing line with the counts."""

import sys

from bulrushrudder.tests import runner

if __name__ == '__main__':
    sys.exit(runner.main(sys.argv[1:]))
