"""The command line."""

import gc
import sys

if __name__ == '__main__':
    # Nothing that is imported becomes garbage; services enable
    # collections when they begin to serve.
    gc.disable()
    from bulrushrudder.commands import program

    sys.exit(program.main())
