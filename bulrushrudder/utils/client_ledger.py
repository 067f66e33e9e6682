"""Counts what a process holds for untrusted clients, and makes room.

When memory or connections run short, connections are closed in this order:
those whose answers are unread longest, those whose head or body has been
incomplete longest, those idle longest, those that have sent much ahead of
the answer to a call. One that makes progress stays, and so does any other
one whose call is being served.
"""

import asyncio
import collections
import contextlib
import enum
import math

from bulrushrudder.events import catalogue
from bulrushrudder.utils import client_limits
from bulrushrudder.utils import counted_log
from bulrushrudder.utils import reply_queue

# A client that takes or sends PROGRESS_BYTES in this time makes progress.
GRACE_S = 2.0
PROGRESS_BYTES = 4096
# The same while more is held than allowed, because answers are larger than
# expected: they would exhaust the memory before GRACE_S has passed.
HARD_GRACE_S = 0.25
# A search for connections to close looks at all of them.
SEARCH_INTERVAL_S = 0.05
# Closing that many at once keeps searches rare in a crowd.
CLOSED_SHARE = 1 / 16
# Objects of a connection without a request, and its task.
OBJECTS_BYTES = 8 * 1024
CONNECTION_BYTES = OBJECTS_BYTES + client_limits.RECEIVED_BYTES
# What a call is taken to need at least: the buffers of the connection to
# its server, in the process and in the kernel.
MIN_CALL_BYTES = 64 * 1024
# The write buffer of an answer that is streamed, beside those buffers.
STREAM_BYTES = 32 * 1024
# The buffers of a tunnel, of 16 KiB and what is read at once in each
# direction, and those of its two sockets in the kernel.
TUNNEL_BYTES = 2 * (16 * 1024 + 2 * client_limits.RECEIVED_BYTES)
TUNNEL_DESCRIPTORS = 2
# What a call is taken to need before the size of answers is known, as a
# share of the limit.
FIRST_CALL_SHARE = 1 / 32
# The expected size of an answer is a mean with this weight of the latest,
# and at most this share of the limit.
LATEST_WEIGHT = 0.1
MAX_CALL_SHARE = 1 / 16


class Holding(enum.Enum):
    """What bytes are held for."""

    CONNECTION = 'connection'
    HEAD = 'head'
    AHEAD = 'sent ahead'
    UPLOAD = 'upload'
    CALL = 'call'
    ANSWER = 'answer'
    TUNNEL = 'tunnel'


class Closing(enum.Enum):
    """Why a connection is closed."""

    UNREAD = 'unread answer, memory short'
    INCOMPLETE = 'incomplete request, memory short'
    IDLE = 'idle, memory short'
    AHEAD = 'much sent ahead, memory short'
    UNREAD_TIMEOUT = 'unread answer, time over'
    HEAD_TOO_LARGE = 'head too large'
    NO_ROOM = 'no room for its request'


class Stage(enum.IntEnum):
    """What a connection does, in the order in which they are closed."""

    UNREAD = 0
    INCOMPLETE = 1
    IDLE = 2
    AHEAD = 3
    BUSY = 4


_CLOSING_BY_STAGE = {
    Stage.UNREAD: Closing.UNREAD,
    Stage.INCOMPLETE: Closing.INCOMPLETE,
    Stage.IDLE: Closing.IDLE,
    Stage.AHEAD: Closing.AHEAD,
}


class Ledger:
    """What the connections of a listener, and tunnels, hold.

    :param limits: the ClientLimits.
    :ivar limits: the same.
    :ivar held_by_holding: bytes by Holding.
    :ivar closed_by_closing: number of connections closed by Closing.
    :ivar refused: number of calls refused because there was no room.
    """

    def __init__(self, limits):
        self.limits = limits
        self.held_by_holding = collections.Counter()
        self.closed_by_closing = collections.Counter()
        self.refused = 0
        self._total = 0
        self._calls = set()
        self._tunnels = set()
        self._connections = set()
        self._uploads = {}
        self._replies = reply_queue.ReplyQueue(limits.held_bytes)
        self._call_bytes = limits.held_bytes * FIRST_CALL_SHARE
        self._searched_s = -math.inf
        self._recheck = None
        self._logs_by_closing = {}
        self._pauses = counted_log.CountedLog(catalogue.CLIENTS_WAIT)

    @property
    def connections(self):
        """Return the number of open connections."""
        return len(self._connections)

    def add(self, connection):
        """Count a connection."""
        self._connections.add(connection)
        self.hold(connection, Holding.CONNECTION, CONNECTION_BYTES)

    def remove(self, connection):
        """Count a connection no more, whose descriptor is free."""
        self._connections.discard(connection)
        self.release(connection)

    def has(self, connection):
        """Return whether a connection is open."""
        return connection in self._connections

    def release(self, connection):
        """Count the bytes of a connection no more."""
        self.end_request(connection)
        self.end_reply(connection)
        for holding in tuple(connection.held_by_holding):
            self.hold(connection, holding, 0)

    def hold(self, connection, holding, size):
        """Set how much a connection holds.

        :param connection: the ClientConnection.
        :param holding: the Holding.
        :param size: bytes.
        """
        held = connection.held_by_holding
        change = size - held.get(holding, 0)
        if not change:
            return
        if holding is Holding.UPLOAD and size:
            self._uploads.setdefault(connection)
        held[holding] = size
        if not size:
            del held[holding]
        self.held_by_holding[holding] += change
        self._total += change
        if change > 0:
            if not self.has_room():
                self._check_soon()
        elif self._replies.waiting:
            self._replies.wake(self._total)

    def has_room(self, size=0):
        """Return whether so many bytes more may be held."""
        return self._total + size <= self.limits.held_bytes

    def admits_connection(self, accepting):
        """Return whether a connection may be accepted now.

        :param accepting: number of accepted ones that are not counted yet.
        """
        return (
            self.connections + accepting < self.limits.connections
            and self.has_room(CONNECTION_BYTES * (accepting + 1))
        )

    def make_room_for_connection(self):
        """Close connections so that one that waits may be accepted."""
        self._pauses.count()
        if self.connections < self.limits.connections:
            self.make_room(CONNECTION_BYTES)
        else:
            self._search(0, math.ceil(self.connections * CLOSED_SHARE))

    def admit_request(self, connection, reads_body):
        """Return whether a request is handled.

        If so, what its answer is expected to need is held, or once its
        body has been read.
        """
        size = 0 if reads_body else int(self._call_bytes)
        if not self.make_room(size):
            self.refused += 1
            return False
        self.hold(connection, Holding.CALL, size)
        return True

    def admit_call(self, connection):
        """Return whether a request whose body has been read may run."""
        size = int(self._call_bytes)
        if Holding.CALL in connection.held_by_holding:
            size = connection.held_by_holding[Holding.CALL]
        elif not self.make_room(size):
            self.refused += 1
            return False
        if self._descriptors_of_calls() >= self.limits.calls:
            self.refused += 1
            return False
        self.hold(connection, Holding.CALL, size)
        self._calls.add(connection)
        self._uploads.pop(connection, None)
        return True

    @contextlib.contextmanager
    def tunnel(self):
        """Hold what a tunnel for another VM needs, if there is room.

        Yields whether there is.
        """
        tunnel = _TunnelHolder()
        descriptors = self._descriptors_of_calls() + TUNNEL_DESCRIPTORS
        has_room = descriptors <= self.limits.calls and (
            self.make_room(TUNNEL_BYTES)
        )
        if has_room:
            self._tunnels.add(tunnel)
            self.hold(tunnel, Holding.TUNNEL, TUNNEL_BYTES)
        try:
            yield has_room
        finally:
            self._tunnels.discard(tunnel)
            self.hold(tunnel, Holding.TUNNEL, 0)

    def _descriptors_of_calls(self):
        return len(self._calls) + TUNNEL_DESCRIPTORS * len(self._tunnels)

    def end_request(self, connection):
        """Release what a request needed that has been answered."""
        self._calls.discard(connection)
        self._uploads.pop(connection, None)
        for holding in (
            Holding.HEAD,
            Holding.UPLOAD,
            Holding.CALL,
            Holding.ANSWER,
        ):
            self.hold(connection, holding, 0)

    def admits_upload(self, connection):
        """Return whether a body may be read on.

        The oldest upload always may, so that a request within the limits
        is served however small the VM is.
        """
        return next(iter(self._uploads), None) is connection or (
            self.make_room(0)
        )

    def hold_answer(self, connection, size):
        """Hold an answer, in the place of what was expected of it.

        Answers to calls say what later ones will need; refusals do not.
        """
        self.hold(connection, Holding.ANSWER, size)
        if connection in self._calls:
            self.hold(connection, Holding.CALL, MIN_CALL_BYTES)
            self._call_bytes += (size - self._call_bytes) * LATEST_WEIGHT
            self._call_bytes = min(
                max(self._call_bytes, MIN_CALL_BYTES),
                self.limits.held_bytes * MAX_CALL_SHARE,
            )

    async def hold_reply(self, connection, size, give_up):
        """Hold what has been read of an answer; wait while there is no room.

        Waiting closes connections in the stated order. An answer for which
        there is no room all the same is given up, see ReplyQueue.

        :param size: bytes of the answer so far.
        :param give_up: function that ends the reading of it.
        """
        self.hold(connection, Holding.ANSWER, size)
        if connection in self._calls:
            expected = int(self._call_bytes) - size
            self.hold(connection, Holding.CALL, max(MIN_CALL_BYTES, expected))
        self._replies.update(connection, size, give_up)
        while not self._replies.admits(connection, self._total):
            self._check_soon()
            await self._replies.wait(connection)

    def end_reply(self, connection):
        """Record that an answer is not read any more; it is still held."""
        self._replies.remove(connection, self._total)

    def make_room(self, size):
        """Close connections if so many bytes more would be too many.

        :returns: whether there is room.
        """
        if not self.has_room(size):
            self._search(size)
        return self.has_room(size)

    def record_closing(self, closing):
        """Count and log that a connection is closed."""
        self.closed_by_closing[closing] += 1
        lines = self._logs_by_closing.get(closing)
        if lines is None:
            lines = self._logs_by_closing[closing] = counted_log.CountedLog(
                catalogue.CLIENTS_CLOSED, reason=closing.value
            )
        lines.count()

    def _check_soon(self):
        """Look for connections to close, repeatedly while room is short."""
        if self._recheck is None:
            self._recheck = asyncio.get_running_loop().call_later(
                SEARCH_INTERVAL_S, self._check_again
            )

    def _check_again(self):
        self._recheck = None
        waiting = self._replies.waiting
        needed = self._replies.reserve if waiting else 0
        has_room = self.make_room(needed)
        if waiting:
            now_s = asyncio.get_running_loop().time()
            self._replies.check(self._total, now_s)
        if (waiting or not has_room) and self._connections:
            self._check_soon()

    def _search(self, size, count=0):
        """Close connections without progress, in the stated order.

        :param size: bytes for which there must be room afterwards, with
            some to spare.
        :param count: number of connections to close at least.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self._searched_s < SEARCH_INTERVAL_S:
            return
        self._searched_s = now_s
        limit = self.limits.held_bytes
        grace_s = GRACE_S
        if self._total > limit:
            grace_s = HARD_GRACE_S
        candidates = []
        for connection in self._connections:
            stage = connection.stage()
            if stage is not Stage.BUSY:
                since_s = connection.progressed_s(now_s)
                if now_s - since_s >= grace_s:
                    candidates.append((stage, since_s, connection))
        candidates.sort(key=lambda candidate: candidate[:2])
        target = limit * (1.0 - CLOSED_SHARE) - size
        for number, (stage, _, connection) in enumerate(candidates):
            if number >= count and (count or self._total <= target):
                return
            connection.drop(_CLOSING_BY_STAGE[stage])


class _TunnelHolder:
    """What the ledger knows of a tunnel.

    :ivar held_by_holding: bytes by Holding.
    """

    def __init__(self):
        self.held_by_holding = {}
