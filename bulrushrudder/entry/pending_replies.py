"""Requests whose replies depend on later events."""

import asyncio


class PendingReplies:
    """Futures of the replies to open requests, by call number."""

    def __init__(self):
        self._futures_by_call = {}
        self._last_call = 0

    def open(self):
        """Register a request and return its call number."""
        self._last_call += 1
        future = asyncio.get_running_loop().create_future()
        self._futures_by_call[self._last_call] = future
        return self._last_call

    async def wait(self, call):
        """Return the reply to a request once it is resolved."""
        try:
            return await self._futures_by_call[call]
        finally:
            self._futures_by_call.pop(call, None)

    def resolve(self, call, answer):
        """Set the reply to a request, unless its waiter is gone."""
        future = self._futures_by_call.get(call)
        if future is not None and not future.done():
            future.set_result(answer)
