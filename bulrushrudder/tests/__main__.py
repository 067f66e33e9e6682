"""Runs the named tests, or all, and prints a summary of the results."""

import sys

from bulrushrudder.tests import runner

if __name__ == '__main__':
    sys.exit(runner.main(sys.argv[1:]))
