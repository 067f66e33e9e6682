"""Bounds the calls of an entry process by the times of its stop."""

import asyncio
import contextlib
import math

# How often the number of calls in flight is checked.
POLL_INTERVAL_S = 0.02


class CallsInFlight:
    """Uploads and accepted calls that have no complete answer yet.

    :ivar number: accepted calls that are not answered yet.
    """

    def __init__(self):
        self.number = 0
        self._uploads = _Limits()
        self._calls = _Limits()

    def upload(self):
        """Return the context of reading the body of a call.

        It raises TimeoutError when the process starts to refuse calls.
        """
        return self._uploads.limit()

    @contextlib.asynccontextmanager
    async def call(self):
        """Return the context of serving an accepted call.

        :raises TimeoutError: when the time to finish has run out.
        """
        self.number += 1
        try:
            async with self._calls.limit():
                yield
        finally:
            self.number -= 1

    def end_uploads(self, at_s):
        """End uploads at a time in monotonic seconds."""
        self._uploads.expire(at_s)

    def end_calls(self, at_s):
        """End accepted calls at a time in monotonic seconds."""
        self._calls.expire(at_s)

    async def wait_until_finished(self, until_s):
        """Wait until no accepted call is in flight.

        :param until_s: monotonic seconds at which the wait ends in any
            case.
        """
        loop = asyncio.get_running_loop()
        while self.number and loop.time() < until_s:
            left_s = until_s - loop.time()
            await asyncio.sleep(max(0.0, min(POLL_INTERVAL_S, left_s)))


class _Limits:
    """Time limits of code that runs, which are set while it runs."""

    def __init__(self):
        self._running = set()
        self._at_s = math.inf

    @contextlib.asynccontextmanager
    async def limit(self):
        at_s = None if self._at_s == math.inf else self._at_s
        async with asyncio.timeout_at(at_s) as running:
            self._running.add(running)
            try:
                yield
            finally:
                self._running.discard(running)

    def expire(self, at_s):
        self._at_s = at_s
        for running in self._running:
            running.reschedule(None if at_s == math.inf else at_s)
