"""Backlog of placement requests by queue class, rank and account."""

import bisect
import collections


class Backlog:
    """Counts the requests that wait.

    For each class, rank and account it has the sorted times by which a
    grant still meets the targets.
    """

    def __init__(self):
        self._accounts_by_key = collections.defaultdict(dict)

    def add(self, queued):
        """Count a request."""
        accounts = self._accounts_by_key[queued.queue_class, queued.rank]
        grant_bys_s = accounts.setdefault(queued.request.account, [])
        bisect.insort(grant_bys_s, queued.grant_by_s)

    def remove(self, queued):
        """Stop counting a request."""
        key = queued.queue_class, queued.rank
        accounts = self._accounts_by_key[key]
        grant_bys_s = accounts[queued.request.account]
        del grant_bys_s[bisect.bisect_left(grant_bys_s, queued.grant_by_s)]
        if not grant_bys_s:
            del accounts[queued.request.account]
        if not accounts:
            del self._accounts_by_key[key]

    def by_rank(self):
        """Return the number of waiting requests by rank."""
        found = collections.Counter()
        for (_, rank), accounts in self._accounts_by_key.items():
            found[rank] += _total(accounts)
        return found

    def up_to(self, rank):
        """Return the number of requests of a rank and of higher ones."""
        return sum(
            _total(accounts)
            for (_, other), accounts in self._accounts_by_key.items()
            if other <= rank
        )

    def above(self, rank):
        """Return the number of requests of higher ranks."""
        return sum(
            _total(accounts)
            for (_, other), accounts in self._accounts_by_key.items()
            if other < rank
        )

    def beside(self, queued):
        """Return the number of requests of its rank before a late one.

        Accounts share within a rank, so it waits for no more requests of
        each other account than for those of its own.
        """
        account = queued.request.account
        by_account = [
            accounts
            for (_, rank), accounts in self._accounts_by_key.items()
            if rank == queued.rank
        ]
        own = sum(
            bisect.bisect_left(accounts[account], queued.grant_by_s)
            for accounts in by_account
            if account in accounts
        )
        return own + sum(
            min(len(grant_bys_s), own + 1)
            for accounts in by_account
            for other, grant_bys_s in accounts.items()
            if other != account
        )


def _total(accounts):
    return sum(map(len, accounts.values()))
