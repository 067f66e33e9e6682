"""The order in which answers are read on when memory is short.

All answers that are being read wait, except the oldest one, which ends
soonest. Part of the memory is kept for it.
"""

import asyncio
import dataclasses
import math

# Of the limit; kept for the oldest answer.
RESERVE_SHARE = 1 / 8
# What a connection reads on before it asks again.
PIECE_BYTES = 32 * 1024
# Answers that nobody reads are closed within this time.
MAX_WAIT_S = 1.0


@dataclasses.dataclass(slots=True)
class _Reply:
    """An answer that is being read.

    :param size: bytes so far.
    :param waiter: future that is set once it may be read on; None if it
        does not wait.
    :param waits_since_s: monotonic seconds; infinite before a wait.
    """

    size: int
    give_up: object
    waiter: asyncio.Future | None = None
    waits_since_s: float = math.inf


class ReplyQueue:
    """The answers that are being read, the oldest first.

    :param max_bytes: limit on all that is held.
    :ivar reserve: bytes of it that are kept for the oldest answer.
    :ivar waiting: number of answers that wait for room.
    """

    def __init__(self, max_bytes):
        self.reserve = int(max_bytes * RESERVE_SHARE)
        self.waiting = 0
        self._max_bytes = max_bytes
        self._by_connection = {}

    def update(self, connection, size, give_up):
        """Record the size of an answer so far.

        :param connection: identifies the answer.
        :param size: bytes.
        :param give_up: function that ends the reading of it.
        """
        reply = self._by_connection.get(connection)
        if reply is None:
            self._by_connection[connection] = _Reply(size, give_up)
        else:
            reply.size, reply.give_up = size, give_up

    def admits(self, connection, held):
        """Return whether an answer may be read on.

        :param held: bytes that are held in all.
        """
        if connection not in self._by_connection:
            return True
        if connection is next(iter(self._by_connection)):
            return held <= self._max_bytes
        return held <= self._max_bytes - self.reserve

    async def wait(self, connection):
        """Wait until an answer may be read on, or is not read any more."""
        loop = asyncio.get_running_loop()
        reply = self._by_connection[connection]
        reply.waits_since_s = min(reply.waits_since_s, loop.time())
        reply.waiter = loop.create_future()
        self.waiting += 1
        try:
            await reply.waiter
        finally:
            self.waiting -= 1
            reply.waiter = None

    def wake(self, held):
        """Let as many answers be read on as there is room for.

        :param held: bytes that are held in all.
        """
        if not self.waiting:
            return
        for connection, reply in self._by_connection.items():
            if not self.admits(connection, held):
                return
            reply.waits_since_s = math.inf
            if reply.waiter is not None and not reply.waiter.done():
                reply.waiter.set_result(None)
                held += PIECE_BYTES

    def check(self, held, now_s):
        """Give up the largest answer if the oldest waits for too long.

        :param held: bytes that are held in all.
        :param now_s: monotonic seconds.
        """
        self.wake(held)
        oldest = next(iter(self._by_connection.values()), None)
        if oldest is None or now_s - oldest.waits_since_s < MAX_WAIT_S:
            return
        largest = max(
            self._by_connection, key=lambda one: self._by_connection[one].size
        )
        give_up = self._by_connection[largest].give_up
        self.remove(largest, held)
        give_up()

    def remove(self, connection, held):
        """Forget an answer that is not read any more.

        :param held: bytes that are held in all.
        """
        reply = self._by_connection.pop(connection, None)
        if reply is None:
            return
        if reply.waiter is not None and not reply.waiter.done():
            reply.waiter.set_result(None)
        self.wake(held)
