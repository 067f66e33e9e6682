"""Finishes the requests of operators and servers when a process stops."""

import asyncio
import contextlib
import dataclasses

from aiohttp import web

STOPPING = 'the control process is stopping; ask another one'
UNFINISHED = (
    'the control process stopped before the outcome was known; a change may '
    'have taken effect'
)
# Requests that have run out of time get their final answer within this.
END_TIMEOUT_S = 0.2


@dataclasses.dataclass(eq=False, frozen=True, slots=True)
class _InFlight:
    """A request without an answer.

    :param limit: the timeout around its handler.
    """

    request: web.Request
    limit: asyncio.Timeout


class RequestsInFlight:
    """Refuses new requests from a stop on, and finishes the others.

    :ivar refusing: whether new requests are refused.
    """

    def __init__(self):
        self.refusing = False
        self._in_flight = set()
        self._finished_event = asyncio.Event()

    @property
    def number(self):
        """Return the number of requests without an answer."""
        return len(self._in_flight)

    @web.middleware
    async def guard(self, request, handler):
        """Handle a request, or refuse it if the process stops."""
        if self.refusing:
            return _refusal(STOPPING)
        try:
            async with asyncio.timeout(None) as limit:
                return await self._handle(request, handler, limit)
        except TimeoutError:
            return _refusal(UNFINISHED)

    async def _handle(self, request, handler, limit):
        in_flight = _InFlight(request, limit)
        self._in_flight.add(in_flight)
        try:
            return await handler(request)
        finally:
            self._in_flight.discard(in_flight)
            if not self._in_flight:
                self._finished_event.set()

    def refuse(self):
        """Refuse new requests from now on."""
        self.refusing = True

    async def finish(self, upload_s, finish_s):
        """Wait until all requests are answered.

        Those that take longer get an answer that says so.

        :param upload_s: seconds until which a body must have arrived.
        :param finish_s: seconds until which a request may run.
        """
        await self._wait(upload_s)
        self._end(lambda request: not request.content.is_eof())
        await self._wait(finish_s - upload_s)
        self._end(lambda request: True)
        await self._wait(END_TIMEOUT_S)

    async def _wait(self, timeout_s):
        self._finished_event.clear()
        if self._in_flight:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._finished_event.wait()

    def _end(self, ends):
        now_s = asyncio.get_running_loop().time()
        for each in self._in_flight:
            if ends(each.request) and not each.limit.expired():
                each.limit.reschedule(now_s)


def _refusal(problem):
    return web.json_response(
        {'problem': problem}, status=503, headers={'Retry-After': '0'}
    )
