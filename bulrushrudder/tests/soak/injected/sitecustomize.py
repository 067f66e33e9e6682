"""Faults inside a program that Python starts with this folder.

SOAK_SYNC_S: seconds that each sync takes beyond the usual.
"""

import os
import time


def _slowed(sync, for_s):
    """Return a sync that takes some seconds more."""

    def call(descriptor):
        time.sleep(for_s)
        return sync(descriptor)

    return call


if 'SOAK_SYNC_S' in os.environ:
    os.fsync = _slowed(os.fsync, float(os.environ['SOAK_SYNC_S']))
    os.fdatasync = _slowed(os.fdatasync, float(os.environ['SOAK_SYNC_S']))
