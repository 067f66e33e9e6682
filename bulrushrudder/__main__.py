"""The command line."""

import sys

from bulrushrudder.commands import program

if __name__ == '__main__':
    sys.exit(program.main())
