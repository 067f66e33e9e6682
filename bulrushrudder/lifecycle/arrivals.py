"""Counts the arrivals of one request at backend servers.

The first prefill and the first decode are the request itself. What comes
beyond them repeats it and has to be paid for from the retry budget: a
second attempt may bring one repeat or two. An order whose server could not
be reached counts too, as it may have arrived.
"""


class Arrivals:
    """What of a request was sent to servers, and which repeats are paid."""

    def __init__(self):
        self._prefills = 0
        self._decodes = 0
        self._paid = 0

    def record_prefill(self):
        """Record that a prefill was sent to a server."""
        self._prefills += 1

    def record_decode(self):
        """Record that a decode was sent to a server."""
        self._decodes += 1

    def unpaid_repeats(self, reuses_prefill):
        """Return the repeats that another attempt adds, at least 1.

        :param reuses_prefill: whether the attempt needs no prefill.
        """
        prefills = self._prefills + (not reuses_prefill)
        repeats = max(0, prefills - 1) + self._decodes
        return max(1, repeats - self._paid)

    def pay(self, repeats):
        """Record that the retry budget was debited."""
        self._paid += repeats
