"""Bounds the links whose peers have not proved that they belong here.

Whoever reaches the inner listener can open connections to it. A peer that
knows the secret takes a few round trips; one that takes longer gives way
when there is no room for others.
"""

import asyncio

# Many round trips between availability zones.
GRACE_S = 0.25
# What a link may hold before its handshake: the kernel's receive buffer, as
# much again that has just been read, and the reader's buffer.
RECEIVE_BUFFER_BYTES = 16 * 1024
READER_BYTES = 16 * 1024
HANDSHAKE_BYTES = 4 * RECEIVE_BUFFER_BYTES + 2 * READER_BYTES
# After a restart, many peers dial at the same moment. Those that there is no
# room for wait in the backlog, for some milliseconds.
MIN_HANDSHAKES = 32
BACKLOG = 128


def limit_of(limits):
    """Return how many handshakes there may be at a time.

    :param limits: the ClientLimits of the inner listener.
    """
    by_memory = limits.held_bytes // HANDSHAKE_BYTES
    return min(limits.connections, max(MIN_HANDSHAKES, by_memory))


class HandshakeRoom:
    """The links that are in their handshake; an acceptor's Admission.

    :param limit: number of them beyond which connections wait.
    """

    def __init__(self, limit):
        self._limit = limit
        self._started_s_by_link = {}

    def begin(self, link):
        """Count a link that has been accepted."""
        now_s = asyncio.get_running_loop().time()
        self._started_s_by_link[link] = now_s

    def end(self, link):
        """Count a link no more: its handshake has succeeded or failed."""
        self._started_s_by_link.pop(link, None)

    def admits_connection(self, accepting):
        """Return whether a connection may be accepted now.

        :param accepting: number of accepted ones that are not counted yet.
        """
        return len(self._started_s_by_link) + accepting < self._limit

    def make_room_for_connection(self):
        """Close the links whose peers take too long."""
        latest_s = asyncio.get_running_loop().time() - GRACE_S
        for link, started_s in tuple(self._started_s_by_link.items()):
            if started_s <= latest_s:
                link.close()
