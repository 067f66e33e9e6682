"""Run the command line."""

import gc
import sys

if __name__ == '__main__':
    # Imported objects never become garbage, so collections are useless
    # until services enable them when they begin to serve.
    gc.disable()
    from bulrushrudder.commands import program

    sys.exit(program.main())
