"""Decode servers that are drained for requests that must run alone."""


class Drains:
    """Reserves one decode server at a time for such a request."""

    def __init__(self):
        self._server_by_hold = {}

    @property
    def claimed(self):
        """Return the ids of the reserved servers."""
        return frozenset(self._server_by_hold.values())

    def reserve(self, request, pool, claimed):
        """Reserve a server for a request, unless one is reserved already.

        :param request: the PlacementRequested.
        :param pool: the DecodePool.
        :param claimed: ids of servers that requests claim.
        :returns: those that other requests claim.
        """
        if not self._server_by_hold:
            candidates = pool.candidates(request.excluded)
            if candidates:
                emptiest = min(candidates, key=lambda known: known.held_places)
                self._server_by_hold[request.hold] = emptiest.server.id
        return claimed - {self._server_by_hold.get(request.hold)}

    def end(self, hold):
        """End the reservation of a request, if it has one."""
        self._server_by_hold.pop(hold, None)
