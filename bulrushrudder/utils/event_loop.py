"""The event loop of the processes, whose clock counts suspensions.

Permissions are valid for some seconds of real time: leases, views, tokens,
places, orders. A VM may be suspended; the steady clock, by which asyncio
goes, stands still meanwhile. All times in a process come from its loop.
"""

import asyncio
import time


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop by CLOCK_BOOTTIME.

    This clock never steps, and goes on while the VM is suspended. A timer
    that was due during a suspension fires after it.
    """

    def time(self):
        """Return seconds since the VM was booted, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(coroutine):
    """Run a coroutine on an event loop of its own, and return its result."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        return runner.run(coroutine)
