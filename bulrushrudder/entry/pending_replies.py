"""Questions of other processes that are answered later."""

import asyncio


class PendingReplies:
    """Futures of questions that wait for a decision, by call number."""

    def __init__(self):
        self._futures_by_call = {}
        self._last_call = 0

    def open(self):
        """Return the number of a new question."""
        self._last_call += 1
        future = asyncio.get_running_loop().create_future()
        self._futures_by_call[self._last_call] = future
        return self._last_call

    async def wait(self, call):
        """Wait for the answer of a question."""
        try:
            return await self._futures_by_call[call]
        finally:
            self._futures_by_call.pop(call, None)

    def resolve(self, call, answer):
        """Answer a question, if anybody still waits."""
        future = self._futures_by_call.get(call)
        if future is not None and not future.done():
            future.set_result(answer)
