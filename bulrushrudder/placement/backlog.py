"""Backlog of placement requests by queue class, rank and account."""

import bisect
import collections
import dataclasses


class Backlog:
    """Counts the requests that wait."""

    def __init__(self):
        self._accounts_by_key = collections.defaultdict(dict)

    def add(self, queued):
        """Count a request."""
        accounts = self._accounts_by_key[queued.queue_class, queued.rank]
        account = queued.request.account
        waiting = accounts.setdefault(account, _AccountBacklog())
        bisect.insort(waiting.deadlines_s, queued.deadline_s)
        bisect.insort(waiting.grant_bys_s, queued.grant_by_s)

    def remove(self, queued):
        """Stop counting a request."""
        key = queued.queue_class, queued.rank
        waiting = self._accounts_by_key[key][queued.request.account]
        _remove(waiting.deadlines_s, queued.deadline_s)
        _remove(waiting.grant_bys_s, queued.grant_by_s)
        if not waiting.deadlines_s:
            del self._accounts_by_key[key][queued.request.account]
        if not self._accounts_by_key[key]:
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

    def above(self, queue_class, rank):
        """Return the number of requests of higher ranks.

        :param queue_class: requests of later classes are not counted.
        """
        return sum(
            _total(accounts)
            for (counted, other), accounts in self._accounts_by_key.items()
            if counted <= queue_class and other < rank
        )

    def beside(self, queued, late):
        """Return the number of requests of its rank before a request.

        Accounts share within a rank, so it waits for no more requests of
        each other account than for those of its own.

        :param late: whether it is compared by the order of late requests,
            with those of all classes.
        """
        account = queued.request.account
        by_account = [
            accounts
            for (counted, rank), accounts in self._accounts_by_key.items()
            if rank == queued.rank and (late or counted <= queued.queue_class)
        ]
        own = sum(
            accounts[account].before(queued, late)
            for accounts in by_account
            if account in accounts
        )
        return own + sum(
            min(len(waiting.deadlines_s), own + 1)
            for accounts in by_account
            for other, waiting in accounts.items()
            if other != account
        )


@dataclasses.dataclass(slots=True)
class _AccountBacklog:
    """Times of the requests of an account in a class and rank, sorted."""

    deadlines_s: list[float] = dataclasses.field(default_factory=list)
    grant_bys_s: list[float] = dataclasses.field(default_factory=list)

    def before(self, queued, late):
        """Return the number of requests that go before another one."""
        if late:
            return bisect.bisect_left(self.grant_bys_s, queued.grant_by_s)
        return bisect.bisect_left(self.deadlines_s, queued.deadline_s)


def _remove(times_s, time_s):
    del times_s[bisect.bisect_left(times_s, time_s)]


def _total(accounts):
    return sum(len(waiting.deadlines_s) for waiting in accounts.values())
