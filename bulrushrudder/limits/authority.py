"""Grants tokens of the client accounts that this process holds.

A process may grant for an account while the log names it as the holder
and a quorum has confirmed its view of the log within the lease. A
successor of a holder that did not release the account waits until the
lease has expired.
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

CLAIM_RETRY_S = 0.25
SWEEP_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogView:
    """The part of the replicated state that an authority depends on.

    :param confirmed_s: monotonic seconds at which the view was last known
        to be current; None if never.
    :param rows_by_key: AccountRows by environment and account.
    :param accounts_by_id: the client accounts in force.
    :param vms: the VMs with an open session.
    """

    environment: types.Environment
    confirmed_s: float | None
    rows_by_key: dict
    accounts_by_id: dict
    vms: tuple[ids.VmId, ...]


def role(account):
    """Return the ranking key that assigns an account to a VM."""
    return f'account/{account}'


class Authority:
    """The accounts that one process holds.

    :param owner: this process.
    :param max_preclaimed: number of accounts up to which accounts are
        claimed before the first token request; above it they are
        claimed on demand.
    """

    def __init__(self, owner, max_preclaimed=0):
        self._owner = owner
        self._max_preclaimed = max_preclaimed
        self._ledgers_by_account = {}
        self._waiting_by_account = {}
        self._claimed_s_by_account = {}
        self._swept_s = None
        self._limits = None
        self._vms = ()
        self._preferred_vm_by_account = {}
        self._stopping = False

    @property
    def held(self):
        """Return the accounts that this process holds."""
        return tuple(self._ledgers_by_account)

    def spendable(self, account, log_view, now_s):
        """Return the tokens that can be granted without a commit."""
        self._refresh(account, log_view, now_s)
        ledger = self._ledgers_by_account.get(account)
        if ledger is None or not self._may_grant(ledger, log_view, now_s):
            return 0.0
        return ledger.spendable(now_s)

    def handle(self, event, log_view, now_s):
        """Handle an event and return the resulting actions.

        :param log_view: the current LogView of the process.
        :param now_s: monotonic seconds.
        """
        self._apply_new_limits(log_view, now_s)
        self._apply_new_vms(log_view)
        match event:
            case events.TokensRequested():
                return self._ask(event, log_view, now_s)
            case events.TokensRefunded():
                return self._apply_refund(event, log_view, now_s)
            case events.TokenRequestWithdrawn():
                return self._withdraw(event, log_view, now_s)
            case events.Ticked():
                return self._tick(log_view, now_s)
            case events.Stopping():
                self._stopping = True
                self._swept_s = None
                return self._tick(log_view, now_s)
        raise AssertionError(f'unknown event {event!r}')

    def _apply_new_limits(self, log_view, now_s):
        """Apply a new document to every account that is held."""
        if log_view.accounts_by_id is self._limits:
            return
        self._limits = log_view.accounts_by_id
        for account in tuple(self._ledgers_by_account):
            self._refresh(account, log_view, now_s)

    def _apply_new_vms(self, log_view):
        """Let the next tick hand over what another VM is preferred for."""
        if log_view.vms == self._vms:
            return
        self._vms = log_view.vms
        self._preferred_vm_by_account = {}
        self._swept_s = None

    def _ask(self, event, log_view, now_s):
        account = log_view.accounts_by_id.get(event.account)
        if account is None or not self._is_preferred(event.account, log_view):
            return [actions.Redirect(event.token_request)]
        self._refresh(event.account, log_view, now_s)
        ledger = self._ledgers_by_account.get(event.account)
        if ledger is None or not self._may_grant(ledger, log_view, now_s):
            waiting = self._waiting_by_account.setdefault(event.account, [])
            waiting.append(event)
            return self._claim(event.account, log_view, now_s)
        return ledger.ask(event, now_s) + ledger.grant_waiting(now_s)

    def _apply_refund(self, event, log_view, now_s):
        self._refresh(event.account, log_view, now_s)
        ledger = self._ledgers_by_account.get(event.account)
        if ledger is None or ledger.row.epoch != event.epoch:
            return []
        ledger.apply_refund(event, now_s)
        if not self._may_grant(ledger, log_view, now_s):
            return []
        return ledger.grant_waiting(now_s)

    def _withdraw(self, event, log_view, now_s):
        waiting = self._waiting_by_account.get(event.account, [])
        waiting[:] = [
            other
            for other in waiting
            if other.token_request != event.token_request
        ]
        ledger = self._ledgers_by_account.get(event.account)
        if ledger is not None:
            ledger.withdraw(event.token_request, now_s)
        return []

    def _tick(self, log_view, now_s):
        new_actions = self._preclaim(log_view, now_s)
        for account in self._due_accounts(now_s):
            self._refresh(account, log_view, now_s)
            new_actions += self._advance(account, log_view, now_s)
        return new_actions

    def _preclaim(self, log_view, now_s):
        """Claim accounts before the first token request, if there are few.

        The first request after a change of VMs then needn't wait for
        the claim.
        """
        accounts_by_id = log_view.accounts_by_id
        recently_swept = (
            self._swept_s is not None
            and now_s - self._swept_s < SWEEP_INTERVAL_S
        )
        if recently_swept or len(accounts_by_id) > self._max_preclaimed:
            return []
        return [
            action
            for account in accounts_by_id
            if self._is_preferred(account, log_view)
            for action in self._claim_if_free(account, log_view, now_s)
        ]

    def _claim_if_free(self, account, log_view, now_s):
        self._refresh(account, log_view, now_s)
        row = log_view.rows_by_key.get((log_view.environment, account))
        # A live holder releases the account itself, which saves the wait.
        live = row and not row.released and row.holder.vm in log_view.vms
        if account in self._ledgers_by_account or live:
            return []
        return self._claim(account, log_view, now_s)

    def _due_accounts(self, now_s):
        held = self._ledgers_by_account
        if self._swept_s is None or now_s - self._swept_s >= SWEEP_INTERVAL_S:
            self._swept_s = now_s
            # A claim may have been committed since for an account that
            # nobody has asked for here.
            claimed = self._claimed_s_by_account
            return sorted({*held, *claimed, *self._waiting_by_account})
        busy = {account for account, ledger in held.items() if ledger.busy}
        return sorted(busy | {*self._waiting_by_account})

    def _advance(self, account, log_view, now_s):
        new_actions = self._refuse_expired(account, now_s)
        ledger = self._ledgers_by_account.get(account)
        if ledger is None:
            if account in self._waiting_by_account:
                new_actions += self._claim(account, log_view, now_s)
            return new_actions
        new_actions += ledger.expire(now_s)
        if not self._may_grant(ledger, log_view, now_s):
            return new_actions
        if not self._is_preferred(account, log_view):
            new_actions += ledger.release(now_s)
        for event in self._waiting_by_account.pop(account, ()):
            new_actions += ledger.ask(event, now_s)
        new_actions += ledger.grant_waiting(now_s)
        return new_actions + ledger.propose_due(now_s)

    def _refresh(self, account, log_view, now_s):
        """Update the ledger of an account from its row.

        The ledger is created when this process becomes the holder, and
        dropped when the account is released or another process holds it.
        """
        row = log_view.rows_by_key.get((log_view.environment, account))
        ledger = self._ledgers_by_account.get(account)
        limits = log_view.accounts_by_id.get(account)
        is_holder = row is not None and row.holder == self._owner
        if not is_holder or row.released:
            self._drop_ledger(account)
            return
        if ledger is not None and ledger.row.epoch == row.epoch:
            ledger.renew(_lease_end_s(log_view), now_s)
            if limits is not None:
                ledger.update(row, limits, now_s)
            return
        self._drop_ledger(account)
        if limits is not None:
            new = ledgers.Ledger(row, limits, now_s)
            self._ledgers_by_account[account] = new

    def _drop_ledger(self, account):
        ledger = self._ledgers_by_account.pop(account, None)
        if ledger is not None and ledger.waiting:
            waiting = self._waiting_by_account.setdefault(account, [])
            waiting += ledger.waiting

    def _claim(self, account, log_view, now_s):
        limits = log_view.accounts_by_id.get(account)
        if limits is None or not self._is_preferred(account, log_view):
            waiting = self._waiting_by_account.pop(account, ())
            return [actions.Redirect(event.token_request) for event in waiting]
        if account in self._ledgers_by_account:
            return []
        last_claim_s = self._claimed_s_by_account.get(account)
        if last_claim_s is not None and now_s - last_claim_s < CLAIM_RETRY_S:
            return []
        self._claimed_s_by_account[account] = now_s
        row = log_view.rows_by_key.get((log_view.environment, account))
        claim = accounts.ClaimAccount(
            log_view.environment,
            account,
            self._owner,
            row.epoch if row else 0,
            float(limits.burst),
        )
        return [actions.Propose(claim)]

    def _refuse_expired(self, account, now_s):
        waiting = self._waiting_by_account.get(account, [])
        expired = [event for event in waiting if event.deadline_s < now_s]
        waiting[:] = [event for event in waiting if event.deadline_s >= now_s]
        if not waiting:
            self._waiting_by_account.pop(account, None)
        reason = outcomes.Reason.INSIDE_RATE
        return [
            actions.Refuse(event.token_request, reason, 1.0)
            for event in expired
        ]

    def _may_grant(self, ledger, log_view, now_s):
        """Return whether this process may grant for an account now."""
        return ledger.grants_from_s <= now_s <= _lease_end_s(log_view)

    def _is_preferred(self, account, log_view):
        if self._stopping:
            return False
        preferred_vm = self._preferred_vm_by_account.get(account)
        if preferred_vm is None:
            preferred_vm = ranking.choose(role(account), log_view.vms)
            self._preferred_vm_by_account[account] = preferred_vm
        return preferred_vm == self._owner.vm


def _lease_end_s(log_view):
    if log_view.confirmed_s is None:
        return float('-inf')
    return log_view.confirmed_s + ledgers.LEASE_S
