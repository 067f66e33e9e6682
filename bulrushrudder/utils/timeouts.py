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
    async with asyncio.timeout(None) as limit:
        steps = _Steps(limit, limit_s / STEPS)
        try:
            yield
        finally:
            steps.cancel()


class _Steps:
    """Lets a timeout expire when the last of its steps has passed.

    :param limit: the asyncio Timeout.
    :param step_s: seconds that a step takes.
    """

    def __init__(self, limit, step_s):
        self._limit = limit
        self._step_s = step_s
        self._left = STEPS
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(step_s, self._end_step)

    def cancel(self):
        """Stop the step that is running."""
        self._timer.cancel()

    def _end_step(self):
        self._left -= 1
        if self._left:
            self._timer = self._loop.call_later(self._step_s, self._end_step)
        else:
            self._limit.reschedule(self._loop.time())
