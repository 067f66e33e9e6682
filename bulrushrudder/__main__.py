"""Run the command line."""

import gc
import sys

from bulrushrudder import start

if __name__ == '__main__':
    start.ignore_hangup(sys.argv[1:])
    # Imported objects never become garbage, so collections are useless
    # until services enable them when they begin to serve.
    gc.disable()
    from bulrushrudder.commands import program

    sys.exit(program.main())
