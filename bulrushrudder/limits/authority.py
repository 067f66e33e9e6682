"""Grants the tokens of the client accounts that a VM answers for.

A process grants for an account while the log, as a quorum vouched for
it within the lease, names it as the holder. A successor waits out the
lease of a holder that did not release the account.
"""

import dataclasses

from bulrushrudder.core import ids
from bulrushrudder.core import outcomes
from bulrushrudder.core import ranking
from bulrushrudder.documents import types
from bulrushrudder.limits import actions
from bulrushrudder.limits import events
from bulrushrudder.limits import ledger as ledgers
from bulrushrudder.state import accounts

CLAIM_AGAIN_S = 0.25
SWEEP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What the process knows from its view of the log.

    :param vouched_s: monotonic seconds at which the view was surely
        current; None before.
    :param rows_by_key: AccountRows by environment and account.
    :param accounts_by_id: the client accounts in force.
    :param vms: the VMs with an open session.
    """

    environment: types.Environment
    vouched_s: float | None
    rows_by_key: dict
    accounts_by_id: dict
    vms: tuple[ids.VmId, ...]


def role(account):
    """Return the key by which an account's authority is ranked."""
    return f'account/{account}'


class Authority:
    """The accounts of one process.

    :param owner: this process.
    :param ahead: up to how many accounts are claimed before anybody
        asks.
    """

    def __init__(self, owner, ahead=0):
        self._owner = owner
        self._ahead = ahead
        self._ledgers_by_account = {}
        self._unclaimed_by_account = {}
        self._claimed_s_by_account = {}
        self._swept_s = None
        self._limits = None
        self._vms = ()
        self._chosen_by_account = {}
        self._stopping = False

    @property
    def held(self):
        """Return the accounts that this process answers for."""
        return tuple(self._ledgers_by_account)

    def spendable(self, account, standing, now_s):
        """Return the tokens that can be granted without the log."""
        self._refresh(account, standing, now_s)
        ledger = self._ledgers_by_account.get(account)
        if ledger is None or not self._acts(ledger, standing, now_s):
            return 0.0
        return ledger.spendable(now_s)

    def handle(self, event, standing, now_s):
        """Take an event and return actions.

        :param standing: the Standing of the process now.
        :param now_s: monotonic seconds.
        """
        self._follow_limits(standing, now_s)
        match event:
            case events.TokensAsked():
                return self._ask(event, standing, now_s)
            case events.TokensReturned():
                return self._take_back(event, standing, now_s)
            case events.AskWithdrawn():
                return self._withdraw(event, standing, now_s)
            case events.Ticked():
                return self._tick(standing, now_s)
            case events.Stopping():
                self._stopping = True
                self._swept_s = None
                return self._tick(standing, now_s)
        raise AssertionError(f'unknown event {event!r}')

    def _follow_limits(self, standing, now_s):
        """Let a document that has just come in bind every account."""
        if standing.accounts_by_id is self._limits:
            return
        self._limits = standing.accounts_by_id
        for account in tuple(self._ledgers_by_account):
            self._refresh(account, standing, now_s)

    def _ask(self, event, standing, now_s):
        account = standing.accounts_by_id.get(event.account)
        if account is None or not self._prefers_me(event.account, standing):
            return [actions.Redirect(event.ask)]
        self._refresh(event.account, standing, now_s)
        ledger = self._ledgers_by_account.get(event.account)
        if ledger is None or not self._acts(ledger, standing, now_s):
            waiting = self._unclaimed_by_account.setdefault(event.account, [])
            waiting.append(event)
            return self._claim(event.account, standing, now_s)
        return ledger.ask(event, now_s) + ledger.serve(now_s)

    def _take_back(self, event, standing, now_s):
        self._refresh(event.account, standing, now_s)
        ledger = self._ledgers_by_account.get(event.account)
        if ledger is None or ledger.row.epoch != event.epoch:
            return []
        ledger.take_back(event, now_s)
        if not self._acts(ledger, standing, now_s):
            return []
        return ledger.serve(now_s)

    def _withdraw(self, event, standing, now_s):
        waiting = self._unclaimed_by_account.get(event.account, [])
        waiting[:] = [asked for asked in waiting if asked.ask != event.ask]
        ledger = self._ledgers_by_account.get(event.account)
        if ledger is not None:
            ledger.withdraw(event.ask, now_s)
        return []

    def _tick(self, standing, now_s):
        found = self._claim_ahead(standing, now_s)
        for account in self._due(now_s):
            self._refresh(account, standing, now_s)
            found += self._tend(account, standing, now_s)
        return found

    def _claim_ahead(self, standing, now_s):
        """Claim accounts before anybody asks, where they are few.

        The first request after a change of VMs finds its account ready
        then.
        """
        accounts_by_id = standing.accounts_by_id
        swept = self._swept_s is not None and now_s - self._swept_s < SWEEP_S
        if swept or len(accounts_by_id) > self._ahead:
            return []
        return [
            action
            for account in accounts_by_id
            if self._prefers_me(account, standing)
            for action in self._claim_if_free(account, standing, now_s)
        ]

    def _claim_if_free(self, account, standing, now_s):
        self._refresh(account, standing, now_s)
        row = standing.rows_by_key.get((standing.environment, account))
        # A live holder gives the account up by itself, without a wait.
        live = row and not row.released and row.holder.vm in standing.vms
        if account in self._ledgers_by_account or live:
            return []
        return self._claim(account, standing, now_s)

    def _due(self, now_s):
        held = self._ledgers_by_account
        if self._swept_s is None or now_s - self._swept_s >= SWEEP_S:
            self._swept_s = now_s
            return sorted({*held, *self._unclaimed_by_account})
        busy = {account for account, ledger in held.items() if ledger.busy}
        return sorted(busy | {*self._unclaimed_by_account})

    def _tend(self, account, standing, now_s):
        found = self._expire_unclaimed(account, now_s)
        ledger = self._ledgers_by_account.get(account)
        if ledger is None:
            if account in self._unclaimed_by_account:
                found += self._claim(account, standing, now_s)
            return found
        found += ledger.expire(now_s)
        if not self._acts(ledger, standing, now_s):
            return found
        if not self._prefers_me(account, standing):
            found += ledger.release(now_s)
        for event in self._unclaimed_by_account.pop(account, ()):
            found += ledger.ask(event, now_s)
        found += ledger.serve(now_s)
        return found + ledger.tend(now_s)

    def _refresh(self, account, standing, now_s):
        """Take in the row of an account; drop what has been lost."""
        row = standing.rows_by_key.get((standing.environment, account))
        ledger = self._ledgers_by_account.get(account)
        limits = standing.accounts_by_id.get(account)
        mine = row is not None and row.holder == self._owner
        if not mine or row.released:
            self._lose(account)
            return
        if ledger is not None and ledger.row.epoch == row.epoch:
            ledger.renew(_lease_ends_s(standing), now_s)
            if limits is not None:
                ledger.observe(row, limits, now_s)
            return
        self._lose(account)
        if limits is not None:
            new = ledgers.Ledger(row, limits, now_s)
            self._ledgers_by_account[account] = new

    def _lose(self, account):
        ledger = self._ledgers_by_account.pop(account, None)
        if ledger is not None and ledger.waiting:
            waiting = self._unclaimed_by_account.setdefault(account, [])
            waiting += ledger.waiting

    def _claim(self, account, standing, now_s):
        limits = standing.accounts_by_id.get(account)
        if limits is None or not self._prefers_me(account, standing):
            waiting = self._unclaimed_by_account.pop(account, ())
            return [actions.Redirect(event.ask) for event in waiting]
        if account in self._ledgers_by_account:
            return []
        last_s = self._claimed_s_by_account.get(account)
        if last_s is not None and now_s - last_s < CLAIM_AGAIN_S:
            return []
        self._claimed_s_by_account[account] = now_s
        row = standing.rows_by_key.get((standing.environment, account))
        claim = accounts.ClaimAccount(
            standing.environment,
            account,
            self._owner,
            row.epoch if row else 0,
            float(limits.burst),
        )
        return [actions.Propose(claim)]

    def _expire_unclaimed(self, account, now_s):
        waiting = self._unclaimed_by_account.get(account, [])
        late = [event for event in waiting if event.deadline_s < now_s]
        waiting[:] = [event for event in waiting if event.deadline_s >= now_s]
        if not waiting:
            self._unclaimed_by_account.pop(account, None)
        reason = outcomes.Reason.INSIDE_RATE
        return [actions.Refuse(event.ask, reason, 1.0) for event in late]

    def _acts(self, ledger, standing, now_s):
        """Return whether this process may grant for an account now."""
        return ledger.starts_s <= now_s <= _lease_ends_s(standing)

    def _prefers_me(self, account, standing):
        if self._stopping:
            return False
        if standing.vms != self._vms:
            self._vms = standing.vms
            self._chosen_by_account = {}
        chosen = self._chosen_by_account.get(account)
        if chosen is None:
            chosen = ranking.choose(role(account), standing.vms)
            self._chosen_by_account[account] = chosen
        return chosen == self._owner.vm


def _lease_ends_s(standing):
    if standing.vouched_s is None:
        return float('-inf')
    return standing.vouched_s + ledgers.LEASE_S
