"""Time limits that a standstill of this process does not use up."""

import asyncio
import contextlib

# A standstill uses up one step at most; what has arrived meanwhile takes
# a few rounds of the loop to be read.
STEPS = 10


@contextlib.asynccontextmanager
async def running_timeout(limit_s):
    """End a block after some seconds in which the loop ran.

    A process that a busy VM does not run finds its timers expired when it
    goes on, before it has read what arrived meanwhile. With this limit, it
    does not take its own standstill for the silence of its peer.

    :param limit_s: seconds after which the block ends.
    :raises TimeoutError: if the block did not end in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        timer = RunningTimer(limit_s, lambda: limit.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()


class RunningTimer:
    """Calls a function after some seconds in which the loop ran.

    :param delay_s: seconds after which the function is called.
    :param expire: the function.
    """

    def __init__(self, delay_s, expire):
        self._step_s = delay_s / STEPS
        self._expire = expire
        self._left = STEPS
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(self._step_s, self._end_step)

    def cancel(self):
        """Keep the function from being called."""
        self._timer.cancel()

    def _end_step(self):
        self._left -= 1
        if self._left:
            self._timer = self._loop.call_later(self._step_s, self._end_step)
        else:
            self._expire()
