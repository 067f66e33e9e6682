"""Ends calls of an entry process that stops."""

import asyncio
import contextlib

# How often the number of calls in flight is checked.
POLL_INTERVAL_S = 0.02
# Rounds of the loop in which answers are read that arrived while the
# process did not run.
LATE_ROUNDS = 5


class Stopped(Exception):
    """The code was ended because the process stops."""


class CallsInFlight:
    """Uploads and accepted calls that have no complete answer yet.

    :ivar number: accepted calls that are not answered yet.
    """

    def __init__(self):
        self.number = 0
        self._uploads = _Endings()
        self._waits = _Endings()
        self._calls = _Endings()

    def upload(self):
        """Return the context of reading the body of a call.

        It raises Stopped when uploads end.
        """
        return self._uploads.context()

    def wait(self):
        """Return the context of a call's wait before it is sent.

        It raises Stopped when waits end.
        """
        return self._waits.context()

    @contextlib.asynccontextmanager
    async def call(self):
        """Return the context of serving an accepted call.

        :raises Stopped: when calls end.
        """
        self.number += 1
        try:
            async with self._calls.context():
                yield
        finally:
            self.number -= 1

    def end_uploads(self):
        """End uploads, now and from now on."""
        self._uploads.end()

    def end_waits(self):
        """End waits of calls that are not sent, now and from now on."""
        self._waits.end()

    def end_calls(self):
        """End accepted calls, now and from now on."""
        self._calls.end()

    async def wait_until_finished(self, until_s):
        """Wait until no accepted call is in flight.

        :param until_s: monotonic seconds at which the wait ends; answers
            that have arrived until then are still handled.
        """
        loop = asyncio.get_running_loop()
        while self.number and loop.time() < until_s:
            left_s = until_s - loop.time()
            await asyncio.sleep(max(0.0, min(POLL_INTERVAL_S, left_s)))
        for _ in range(LATE_ROUNDS):
            if self.number:
                await asyncio.sleep(POLL_INTERVAL_S / LATE_ROUNDS)


class _Endings:
    """Ends code that runs in its contexts."""

    def __init__(self):
        self._running = set()
        self._ended = False

    @contextlib.asynccontextmanager
    async def context(self):
        if self._ended:
            raise Stopped
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._running.add(limit)
                try:
                    yield
                finally:
                    self._running.discard(limit)
        except TimeoutError as error:
            if limit.expired():
                raise Stopped from error
            raise

    def end(self):
        self._ended = True
        now_s = asyncio.get_running_loop().time()
        for limit in self._running:
            if not limit.expired():
                limit.reschedule(now_s)
