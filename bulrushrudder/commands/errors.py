"""Errors of commands: lines on stderr and an exit code."""

import enum
import sys


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_FILE = 3
    REFUSED = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6
    INTERRUPTED = 130


class CommandError(Exception):
    """Ends a command with error lines and an exit code."""

    def __init__(self, code, *lines):
        super().__init__(code, *lines)
        self.code = code
        self.lines = lines

    def report(self):
        """Write the lines to stderr and return the exit code."""
        for line in self.lines:
            print(f'bulrushrudder: {line}', file=sys.stderr)
        return int(self.code)
