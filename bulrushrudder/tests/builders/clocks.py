"""Clocks of a VM that a test suspends."""

import time
from unittest import mock


class VmClocks:
    """Clocks as the kernel of a VM shows them to this process.

    A suspension advances CLOCK_BOOTTIME and the time of day, but not the
    steady clock.

    :param stack: ExitStack that ends the replacement of the clocks.
    """

    def __init__(self, stack):
        self._suspended_s = 0.0
        self._read = time.clock_gettime
        patch = mock.patch.object(time, 'clock_gettime', self._clock_gettime)
        stack.enter_context(patch)

    def suspend(self, seconds):
        """Suspend the VM and resume it."""
        self._suspended_s += seconds

    def _clock_gettime(self, clock):
        if clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME):
            return self._read(clock) + self._suspended_s
        return self._read(clock)
