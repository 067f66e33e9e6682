"""Time limits that a standstill of this process does not use up."""

import asyncio

# A standstill uses up one step at most; what has arrived meanwhile takes
# a few rounds of the loop to be read.
STEPS = 10


class RunningTimeout:
    """Ends a block after some seconds in which the loop ran.

    A process that a busy VM does not run finds its timers expired when it
    goes on, before it has read what arrived meanwhile. With this limit, it
    does not take its own standstill for the silence of its peer.

    The block raises TimeoutError if it has not ended in time.

    :param limit_s: seconds after which the block ends.
    """

    __slots__ = ('_limit', '_limit_s', '_timer')

    def __init__(self, limit_s):
        self._limit_s = limit_s
        self._limit = asyncio.timeout(None)
        self._timer = None

    async def __aenter__(self):
        await self._limit.__aenter__()
        self._timer = RunningTimer(self._limit_s, self._expire)

    async def __aexit__(self, *error):
        self._timer.cancel()
        return await self._limit.__aexit__(*error)

    def _expire(self):
        self._limit.reschedule(asyncio.get_running_loop().time())


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
